/// JSON of the lease records of quota shares in the platform. Pure functions.
#ifndef MAGNOLIASPREAD_SHAREJSON_P_H
#define MAGNOLIASPREAD_SHAREJSON_P_H

#include <magnoliaspread/error.h>
#include <magnoliaspread/sharemsg.h>

#include <string>
#include <string_view>

namespace magnoliaspread {

std::string formatShare(const share_record &Record);

/// Errors: BadTable.
result<share_record> parseShare(std::string_view Text);

} // namespace magnoliaspread

#endif
