#include <magnoliaspread/settings.h>

namespace magnoliaspread {

result<instance_settings> parseSettings(std::string_view /*Json*/,
                                        std::string_view FileName) {
  return error{error_kind::BadSettings, std::string(FileName), {}};
}

result<instance_settings> loadSettings(const std::string &FileName) {
  return parseSettings("", FileName);
}

} // namespace magnoliaspread
