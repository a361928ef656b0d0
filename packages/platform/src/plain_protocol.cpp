#include <magnoliaspread/store_protocol.h>

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace magnoliaspread {

namespace json = boost::json;
namespace urls = boost::urls;
using http_verb = boost::beast::http::verb;

namespace {

std::string objectPath(const std::string &Name) {
  return "/objects/" + urls::encode(Name, urls::unreserved_chars + '/');
}

class plain_protocol final : public store_protocol {
public:
  store_call get(const std::string &Name) const override {
    return {http_verb::get, objectPath(Name), {}, {}};
  }

  store_call put(const put_request &Request, std::string Value) const override {
    return {http_verb::put, objectPath(Request.Name), Request.IfVersion,
            std::move(Value)};
  }

  std::optional<store_call> create(const put_request & /*Request*/,
                                   std::string /*Value*/) const override {
    return std::nullopt;
  }

  store_call remove(const remove_request &Request) const override {
    return {
        http_verb::delete_, objectPath(Request.Name), Request.IfVersion, {}};
  }

  store_call list(const std::string &Prefix,
                  const std::string & /*After*/) const override {
    return {http_verb::get,
            "/objects?prefix=" + urls::encode(Prefix, urls::unreserved_chars),
            {},
            {}};
  }

  store_call watch(const watch_request &Request) const override {
    return {http_verb::get,
            objectPath(Request.Name) +
                "?watch=" + std::to_string(Request.Version) +
                "&wait_ms=" + std::to_string(Request.Wait.count()),
            {},
            {}};
  }

  store_call changes(const changes_request &Request) const override {
    return {http_verb::get,
            "/objects?changes=" +
                urls::encode(Request.Prefix, urls::unreserved_chars),
            {},
            {}};
  }

  std::optional<wire_object>
  readObject(const json::value &Answer,
             const std::string & /*Prefix*/) const override {
    const json::object *Fields = Answer.if_object();
    const object_version Version = readVersion(Answer);
    if (Fields == nullptr || Version == NoObject)
      return std::nullopt;
    const json::value *Name = Fields->if_contains("name");
    const json::value *Value = Fields->if_contains("value");
    if (Name == nullptr || !Name->is_string() || Value == nullptr)
      return std::nullopt;
    return wire_object{std::string(Name->get_string()), Version, *Value};
  }

  std::optional<wire_page> readPage(const json::value &Answer,
                                    const std::string &Prefix) const override {
    const json::array *Rows = Answer.if_array();
    if (Rows == nullptr)
      return std::nullopt;
    wire_page Page;
    for (const json::value &Row : *Rows)
      if (std::optional<wire_object> Read = readObject(Row, Prefix))
        Page.Objects.push_back(std::move(*Read));
    return Page;
  }

  std::optional<wire_changes>
  readChanges(const json::value & /*Answer*/,
              const std::string & /*Prefix*/) const override {
    return std::nullopt;
  }

  object_version readVersion(const json::value &Answer) const override {
    const json::object *Object = Answer.if_object();
    const json::value *Version =
        Object == nullptr ? nullptr : Object->if_contains("version");
    if (Version == nullptr)
      return NoObject;
    boost::system::error_code Error;
    const auto Number = Version->to_number<object_version>(Error);
    return Error ? NoObject : Number;
  }
};

} // namespace

const store_protocol &plainProtocol() {
  static const plain_protocol Protocol;
  return Protocol;
}

std::string prefixOf(const std::string &Name) {
  const std::size_t Slash = Name.find('/');
  return Slash == std::string::npos ? std::string() : Name.substr(0, Slash + 1);
}

} // namespace magnoliaspread
