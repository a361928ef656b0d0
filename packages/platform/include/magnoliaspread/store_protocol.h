/// Wire format of the calls of object_store. A protocol only encodes calls and
/// decodes answers; the client decides when to call and what an answer means.
#ifndef MAGNOLIASPREAD_STORE_PROTOCOL_H
#define MAGNOLIASPREAD_STORE_PROTOCOL_H

#include <magnoliaspread/platform.h>

#include <boost/beast/http/verb.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliaspread {

struct store_call {
  boost::beast::http::verb Method = boost::beast::http::verb::get;
  /// Path and query, encoded.
  std::string Path;
  /// Sent as If-Match, where the protocol uses it.
  std::optional<object_version> IfMatch;
  std::string Body;
};

/// An object as the platform sends it; Value includes the envelope.
struct wire_object {
  std::string Name;
  object_version Version = NoObject;
  boost::json::value Value;
};

struct wire_page {
  std::vector<wire_object> Objects;
  /// The list continues after the last of Objects.
  bool More = false;
  object_version Revision = NoObject;
};

struct wire_change {
  wire_object Object;
  bool Removed = false;
};

struct wire_changes {
  std::vector<wire_change> Changes;
  object_version Revision = NoObject;
};

class store_protocol {
public:
  store_protocol() = default;
  store_protocol(const store_protocol &) = delete;
  store_protocol &operator=(const store_protocol &) = delete;
  virtual ~store_protocol() = default;

  /// Name of the header field with the era; empty when there is none.
  virtual std::string_view eraField() const { return {}; }
  /// \p Text is the field's value, empty without the field. Empty when it is
  /// malformed.
  virtual std::optional<store_era> readEra(std::string_view /*Text*/) const {
    return 0;
  }

  virtual store_call get(const std::string &Name) const = 0;
  /// \p Value is the JSON text to store, envelope included.
  virtual store_call put(const put_request &Request,
                         std::string Value) const = 0;
  /// The call that creates the object when an unconditional put found none;
  /// empty when put() creates objects itself.
  virtual std::optional<store_call> create(const put_request &Request,
                                           std::string Value) const = 0;
  virtual store_call remove(const remove_request &Request) const = 0;
  /// The objects whose names begin with \p Prefix, after \p After if set.
  virtual store_call list(const std::string &Prefix,
                          const std::string &After) const = 0;
  virtual store_call watch(const watch_request &Request) const = 0;
  virtual store_call changes(const changes_request &Request) const = 0;

  /// Empty when \p Answer is malformed. \p Prefix is prepended to names that
  /// the platform sends without it.
  virtual std::optional<wire_object>
  readObject(const boost::json::value &Answer,
             const std::string &Prefix) const = 0;
  virtual std::optional<wire_page>
  readPage(const boost::json::value &Answer,
           const std::string &Prefix) const = 0;
  virtual std::optional<wire_changes>
  readChanges(const boost::json::value &Answer,
              const std::string &Prefix) const = 0;
  /// The version of the object in the answer to a write; NoObject when it has
  /// none.
  virtual object_version
  readVersion(const boost::json::value &Answer) const = 0;
};

/// The protocol of the project's own platform stand-in.
const store_protocol &plainProtocol();

/// The part of \p Name up to its first slash, slash included.
std::string prefixOf(const std::string &Name);

} // namespace magnoliaspread

#endif
