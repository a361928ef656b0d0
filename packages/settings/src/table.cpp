#include <magnoliaspread/table.h>

#include <sodium.h>

namespace magnoliaspread {

result<config_table> parseTable(std::string_view /*Json*/) {
  return error{error_kind::BadTable, "not read yet", {}};
}

std::string formatTable(const config_table & /*Table*/) { return "{}"; }

status checkTable(const config_table & /*Table*/) { return {}; }

std::string hashKey(std::string_view Key) {
  unsigned char Digest[crypto_generichash_BYTES];
  crypto_generichash(Digest, sizeof(Digest),
                     reinterpret_cast<const unsigned char *>(Key.data()),
                     Key.size(), nullptr, 0);
  char Hex[2 * sizeof(Digest) + 1];
  return sodium_bin2hex(Hex, sizeof(Hex), Digest, sizeof(Digest));
}

} // namespace magnoliaspread
