#include <magnoliaspread/table.h>

#include <sodium.h>

namespace magnoliaspread {

std::string hashKey(std::string_view Key) {
  unsigned char Digest[crypto_generichash_BYTES];
  crypto_generichash(Digest, sizeof(Digest),
                     reinterpret_cast<const unsigned char *>(Key.data()),
                     Key.size(), nullptr, 0);
  char Hex[2 * sizeof(Digest) + 1];
  return sodium_bin2hex(Hex, sizeof(Hex), Digest, sizeof(Digest));
}

} // namespace magnoliaspread
