/// Parses JSON in which single values may be unreadable.
#ifndef MAGNOLIASPREAD_LENIENTJSON_P_H
#define MAGNOLIASPREAD_LENIENTJSON_P_H

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

namespace magnoliaspread {

/// \p Text with null in place of values nested too deeply and of numbers
/// beyond the range of a double. The structure stays as it is.
std::string replaceUnreadableValues(std::string_view Text);

/// Null when \p Text is not JSON. One list holds the objects of several
/// writers, so a value that can't be read must not hide the others: it is null,
/// and bytes that are no UTF-8 stay as they are.
boost::json::value parseLenient(const std::string &Text);

} // namespace magnoliaspread

#endif
