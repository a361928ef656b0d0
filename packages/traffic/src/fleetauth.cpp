#include <magnoliaspread/fleetauth.h>

#include <sodium.h>

namespace magnoliaspread {

using std::chrono::milliseconds;

namespace {

/// Allows for clock skew and network delay between instances.
constexpr milliseconds MaxAge{60000};

void appendField(std::string &Text, std::string_view Field) {
  Text += std::to_string(Field.size());
  Text += ':';
  Text += Field;
}

std::string signedText(const forwarded_head &Head) {
  std::string Text;
  appendField(Text, Head.Method);
  appendField(Text, Head.Target);
  appendField(Text, Head.RequestId);
  appendField(Text, Head.Workspace);
  appendField(Text, Head.Service);
  appendField(Text, std::to_string(Head.TimeLeft.count()));
  appendField(Text, Head.AtMostOnce ? "once" : "");
  appendField(Text, Head.IdempotencyKey);
  appendField(Text, Head.From);
  appendField(Text, std::to_string(Head.CreditGrant));
  appendField(Text, std::to_string(Head.SentAtMs));
  return Text;
}

error rejected(const char *Detail) {
  return {error_kind::PeerRejected, Detail, {}};
}

} // namespace

result<fleet_secret> parseFleetSecret(std::string_view Hex) {
  fleet_secret Secret(crypto_auth_KEYBYTES);
  std::size_t Length = 0;
  const int Failure = sodium_hex2bin(Secret.data(), Secret.size(), Hex.data(),
                                     Hex.size(), nullptr, &Length, nullptr);
  if (Failure != 0 || Length != Secret.size() ||
      Hex.size() != 2 * Secret.size())
    return error{
        error_kind::BadSettings, "the fleet secret takes 64 hex digits", {}};
  return Secret;
}

std::string macOf(const fleet_secret &Secret, std::string_view Text) {
  unsigned char Mac[crypto_auth_BYTES];
  crypto_auth(Mac, reinterpret_cast<const unsigned char *>(Text.data()),
              Text.size(), Secret.data());
  char Hex[2 * sizeof(Mac) + 1];
  return sodium_bin2hex(Hex, sizeof(Hex), Mac, sizeof(Mac));
}

std::string signForwarded(const fleet_secret &Secret,
                          const forwarded_head &Head) {
  return macOf(Secret, signedText(Head));
}

status verifyForwarded(const fleet_secret &Secret, const forwarded_head &Head,
                       std::string_view Mac, wall_time Now) {
  const std::string Expected = signForwarded(Secret, Head);
  if (Mac.size() != Expected.size() ||
      sodium_memcmp(Mac.data(), Expected.data(), Mac.size()) != 0)
    return rejected("the head was not signed by this fleet");
  const auto Age = std::chrono::duration_cast<milliseconds>(
      Now.time_since_epoch() - milliseconds(Head.SentAtMs));
  if (Age > MaxAge || Age < -MaxAge)
    return rejected("the head was not signed just now; check the clocks");
  return {};
}

} // namespace magnoliaspread
