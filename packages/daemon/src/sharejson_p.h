/// Lease records of quota shares as the platform's objects hold them. Pure.
#ifndef MAGNOLIASPREAD_SHAREJSON_P_H
#define MAGNOLIASPREAD_SHAREJSON_P_H

#include <magnoliaspread/error.h>
#include <magnoliaspread/sharemsg.h>

#include <string>
#include <string_view>

namespace magnoliaspread {

std::string formatShare(const share_record &Record);

/// BadTable when the text is not a share's record.
result<share_record> parseShare(std::string_view Text);

} // namespace magnoliaspread

#endif
