#include "platform_link_p.h"

#include <magnoliaspread/clock.h>
#include <magnoliaspread/http_store.h>

#include <random>

namespace magnoliaspread {
namespace {

std::uint64_t randomSeed() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

http_store_settings settingsFor(const endpoint_address &Address) {
  http_store_settings Settings;
  Settings.Platform = Address;
  return Settings;
}

class http_link final : public platform_link {
public:
  explicit http_link(const endpoint_address &Address)
      : Store(Io, settingsFor(Address), Clock, randomSeed()) {}

  object_store &store() override { return Store; }

  bool step() override {
    Io.restart();
    return Io.run_one() > 0;
  }

private:
  system_clock Clock;
  boost::asio::io_context Io{1};
  http_store Store;
};

} // namespace

std::unique_ptr<platform_link>
connectPlatform(const endpoint_address &Address) {
  return std::make_unique<http_link>(Address);
}

result<stored_object> getObject(platform_link &Link, const std::string &Name) {
  return waitFor<stored_object>(Link, [&](completion<stored_object> Done) {
    Link.store().get({Name}, std::move(Done));
  });
}

result<put_answer> putObject(platform_link &Link, put_request Request) {
  return waitFor<put_answer>(Link, [&](completion<put_answer> Done) {
    Link.store().put(std::move(Request), std::move(Done));
  });
}

result<object_list> listObjects(platform_link &Link,
                                const std::string &Prefix) {
  return waitFor<object_list>(Link, [&](completion<object_list> Done) {
    Link.store().list({Prefix}, std::move(Done));
  });
}

} // namespace magnoliaspread
