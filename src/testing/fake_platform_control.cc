#include "testing/fake_platform_control.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <variant>
#include <vector>

namespace wasabihook::testing {
namespace {

using Json = nlohmann::json;
using Member = std::variant<bool PlatformFaults::*,
                            Duration PlatformFaults::*,
                            uint32_t PlatformFaults::*,
                            double PlatformFaults::*>;

struct Field {
  const char* name;
  Member member;
};

const std::vector<Field>& Fields() {
  static const std::vector<Field> fields = {
      {"down", &PlatformFaults::down},
      {"slow_ms", &PlatformFaults::slow},
      {"slow_jitter_ms", &PlatformFaults::slow_jitter},
      {"lose_write_responses", &PlatformFaults::lose_write_responses},
      {"lose_write_response_probability",
       &PlatformFaults::lose_write_response_probability},
      {"drop_requests", &PlatformFaults::drop_requests},
      {"drop_request_probability", &PlatformFaults::drop_request_probability},
      {"late_write_probability", &PlatformFaults::late_write_probability},
      {"late_by_ms", &PlatformFaults::late_by},
      {"lost_after_ms", &PlatformFaults::lost_after},
      {"list_lag_ms", &PlatformFaults::list_lag},
      {"instance_ttl_ms", &PlatformFaults::instance_ttl},
      {"max_writes_per_s", &PlatformFaults::max_writes_per_s},
      {"max_reads_per_s", &PlatformFaults::max_reads_per_s},
  };
  return fields;
}

Json FieldToJson(bool value) {
  return value;
}
Json FieldToJson(uint32_t value) {
  return value;
}
Json FieldToJson(double value) {
  return value;
}
Json FieldToJson(Duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

void FieldFromJson(const Json& json, bool& value) {
  value = json.get<bool>();
}

void FieldFromJson(const Json& json, uint32_t& value) {
  if (!json.is_number_unsigned() || json.get<uint64_t>() > UINT32_MAX) {
    throw std::invalid_argument("expected a count");
  }
  value = json.get<uint32_t>();
}

void FieldFromJson(const Json& json, double& value) {
  if (!json.is_number() || !(json.get<double>() >= 0) ||
      json.get<double>() > 1) {
    throw std::invalid_argument("expected a probability");
  }
  value = json.get<double>();
}

void FieldFromJson(const Json& json, Duration& value) {
  static constexpr uint64_t kMaxMs = 24ULL * 3600 * 1000;
  if (!json.is_number_unsigned() || json.get<uint64_t>() > kMaxMs) {
    throw std::invalid_argument("expected milliseconds of up to a day");
  }
  value = std::chrono::milliseconds(json.get<uint64_t>());
}

}  // namespace

std::string EncodeStats(const PlatformStats& stats) {
  Json calls = Json::object();
  Json rates = Json::object();
  for (size_t kind = 0; kind < kPlatformCallKinds; ++kind) {
    const std::string name = ToString(static_cast<PlatformCall>(kind));
    calls[name] = stats.calls[kind];
    rates[name] = stats.per_second[kind];
  }
  return Json{{"calls", calls},
              {"per_second", rates},
              {"writes", stats.writes()},
              {"reads", stats.reads()},
              {"refused", stats.refused},
              {"conflicts", stats.conflicts},
              {"lost", stats.lost},
              {"keys", stats.keys},
              {"value_bytes", stats.value_bytes},
              {"revision", stats.revision.value()}}
      .dump();
}

std::string EncodeFaults(const PlatformFaults& faults) {
  Json json = Json::object();
  for (const Field& field : Fields()) {
    std::visit(
        [&](auto member) { json[field.name] = FieldToJson(faults.*member); },
        field.member);
  }
  return json.dump();
}

PlatformFaults UpdateFaults(PlatformFaults faults, const std::string& body) {
  const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    throw std::invalid_argument("expected a JSON object");
  }
  for (const auto& [name, value] : json.items()) {
    const auto field =
        std::find_if(Fields().begin(), Fields().end(),
                     [&name = name](const Field& f) { return name == f.name; });
    if (field == Fields().end()) {
      throw std::invalid_argument("unknown field " + name);
    }
    try {
      std::visit([&faults, &value = value](
                     auto member) { FieldFromJson(value, faults.*member); },
                 field->member);
    } catch (const Json::exception&) {
      throw std::invalid_argument("wrong type of " + name);
    }
  }
  return faults;
}

}  // namespace wasabihook::testing
