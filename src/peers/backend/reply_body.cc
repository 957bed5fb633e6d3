#include "peers/backend/reply_body.h"

#include <cstddef>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

using Json = nlohmann::json;

// Input iterator that exposes the parser's position, so that rows are copied as
// text instead of being parsed and serialised again.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* at, const char** position)
      : m_at(at), m_position(position) {}

  const char& operator*() const { return *m_at; }
  CountingIterator& operator++() {
    *m_position = ++m_at;
    return *this;
  }
  CountingIterator operator++(int) {
    CountingIterator old = *this;
    ++*this;
    return old;
  }
  bool operator==(const CountingIterator& other) const {
    return m_at == other.m_at;
  }
  bool operator!=(const CountingIterator& other) const {
    return m_at != other.m_at;
  }

 private:
  const char* m_at;
  const char** m_position;
};

enum class JsonContext : uint8_t { kTop, kRows, kLoad, kNewest, kOther };

class BodyHandler : public nlohmann::json_sax<Json> {
 public:
  BodyHandler(ReplyBody* body, const char* const* position)
      : m_body(body), m_position(position) {}

  bool null() override { return AcceptIfUnknown(); }
  bool boolean(bool value) override;
  bool number_integer(number_integer_t) override { return AcceptIfUnknown(); }
  bool number_unsigned(number_unsigned_t value) override;
  bool number_float(number_float_t, const string_t&) override {
    return AcceptIfUnknown();
  }
  bool string(string_t& value) override;
  bool binary(binary_t&) override { return false; }
  bool start_object(size_t) override;
  bool key(string_t& value) override;
  bool end_object() override;
  bool start_array(size_t) override;
  bool end_array() override;
  bool parse_error(size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool IsSkipping() const {
    return m_context == JsonContext::kOther || m_row_depth > 0;
  }
  bool AcceptIfUnknown() const;
  bool EnterLevel();
  bool SetNumber(std::optional<uint64_t>* field, uint64_t value) const;
  bool SetLoad(uint64_t value);
  bool SetNewest(uint64_t value);
  static bool IsKnown(const std::string& key);

  ReplyBody* m_body;
  const char* const* m_position;
  const char* m_row_start = nullptr;
  JsonContext m_context = JsonContext::kTop;
  uint32_t m_depth = 0;
  // Depth of the outermost object of the current row; 0 outside rows.
  uint32_t m_row_depth = 0;
  std::string m_key;
  std::string m_inner_key;
};

bool BodyHandler::IsKnown(const std::string& key) {
  static constexpr std::string_view kKnown[] = {
      "request_id", "index_version", "map_version", "group", "records_searched",
      "row_count",  "rows",          "load",        "error", "newest"};
  for (std::string_view known : kKnown) {
    if (known == key) {
      return true;
    }
  }
  return false;
}

// Handles a value of a type that no known member has.
bool BodyHandler::AcceptIfUnknown() const {
  if (IsSkipping()) {
    return true;
  }
  return m_context == JsonContext::kTop && m_depth == 1 && !IsKnown(m_key);
}

bool BodyHandler::EnterLevel() {
  return ++m_depth <= config::kMaxReplyNesting;
}

bool BodyHandler::SetNumber(std::optional<uint64_t>* field,
                            uint64_t value) const {
  if (field->has_value()) {
    return false;
  }
  *field = value;
  return true;
}

bool BodyHandler::SetLoad(uint64_t value) {
  if (value > std::numeric_limits<uint32_t>::max()) {
    return false;
  }
  if (m_inner_key == "running") {
    m_body->load->running = static_cast<uint32_t>(value);
  } else if (m_inner_key == "queued") {
    m_body->load->queued = static_cast<uint32_t>(value);
  } else {
    return m_inner_key != "draining";
  }
  return true;
}

bool BodyHandler::SetNewest(uint64_t value) {
  if (m_inner_key == "index_version") {
    m_body->newest->index_version = IndexVersion(value);
  } else if (m_inner_key == "map_version") {
    m_body->newest->map_version = MapVersion(value);
  }
  return true;
}

bool BodyHandler::boolean(bool value) {
  if (m_context == JsonContext::kLoad && m_inner_key == "draining") {
    m_body->load->draining = value;
    return true;
  }
  return AcceptIfUnknown();
}

bool BodyHandler::number_unsigned(number_unsigned_t value) {
  if (IsSkipping()) {
    return true;
  }
  switch (m_context) {
    case JsonContext::kLoad:
      return SetLoad(value);
    case JsonContext::kNewest:
      return SetNewest(value);
    case JsonContext::kTop:
      break;
    default:
      return false;
  }
  if (m_key == "index_version") {
    return SetNumber(&m_body->index_version, value);
  }
  if (m_key == "map_version") {
    return SetNumber(&m_body->map_version, value);
  }
  if (m_key == "records_searched") {
    return SetNumber(&m_body->records_searched, value);
  }
  if (m_key == "row_count") {
    return SetNumber(&m_body->row_count, value);
  }
  return AcceptIfUnknown();
}

bool BodyHandler::string(string_t& value) {
  if (m_context != JsonContext::kTop) {
    return IsSkipping();
  }
  std::optional<std::string>* field = nullptr;
  if (m_key == "request_id") {
    field = &m_body->request_id;
  } else if (m_key == "group") {
    field = &m_body->group;
  } else if (m_key == "error") {
    field = &m_body->error;
  }
  if (!field) {
    return AcceptIfUnknown();
  }
  if (field->has_value()) {
    return false;
  }
  *field = std::move(value);
  return true;
}

bool BodyHandler::start_object(size_t) {
  if (!EnterLevel()) {
    return false;
  }
  if (IsSkipping() || m_depth == 1) {
    return true;
  }
  if (m_context == JsonContext::kRows) {
    m_row_depth = m_depth;
    m_row_start = *m_position - 1;
    return true;
  }
  if (m_context != JsonContext::kTop) {
    return false;
  }
  if (m_key == "load" && !m_body->load) {
    m_body->load.emplace();
    m_context = JsonContext::kLoad;
  } else if (m_key == "newest" && !m_body->newest) {
    m_body->newest.emplace();
    m_context = JsonContext::kNewest;
  } else {
    m_context = JsonContext::kOther;
    return !IsKnown(m_key);
  }
  return true;
}

bool BodyHandler::key(string_t& value) {
  if (m_row_depth == 0) {
    (m_depth == 1 ? m_key : m_inner_key) = std::move(value);
  }
  return true;
}

bool BodyHandler::end_object() {
  if (m_row_depth == m_depth) {
    m_body->rows.emplace_back(m_row_start, *m_position);
    m_row_depth = 0;
  }
  if (--m_depth == 1 && m_context != JsonContext::kRows) {
    m_context = JsonContext::kTop;
  }
  return true;
}

bool BodyHandler::start_array(size_t) {
  if (!EnterLevel()) {
    return false;
  }
  if (IsSkipping()) {
    return true;
  }
  if (m_context != JsonContext::kTop || m_depth != 2) {
    return false;
  }
  if (m_key == "rows" && !m_body->has_rows) {
    m_body->has_rows = true;
    m_context = JsonContext::kRows;
    return true;
  }
  m_context = JsonContext::kOther;
  return !IsKnown(m_key);
}

bool BodyHandler::end_array() {
  if (--m_depth == 1) {
    m_context = JsonContext::kTop;
  }
  return true;
}

}  // namespace

std::optional<ReplyBody> ParseReplyBody(std::string_view text) {
  ReplyBody body;
  const char* position = text.data();
  BodyHandler handler(&body, &position);
  CountingIterator first(text.data(), &position);
  CountingIterator last(text.data() + text.size(), &position);
  if (!Json::sax_parse(first, last, &handler)) {
    return std::nullopt;
  }
  return body;
}

}  // namespace wasabihook
