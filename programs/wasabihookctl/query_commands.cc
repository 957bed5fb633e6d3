#include <tclap/CmdLine.h>

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

#include "peers/operator/admin_client.h"
#include "wasabihookctl/command.h"

namespace wasabihook::ctl {
namespace {

using std::chrono::milliseconds;

// Added to the deadline of a request before this side gives up.
constexpr milliseconds kAnswerGrace{2000};

// Arguments that all calls to an instance share.
struct InstanceArguments {
  explicit InstanceArguments(TCLAP::CmdLine& line)
      : instance("",
                 "instance",
                 "Caller address of the instance",
                 true,
                 "",
                 "IP:PORT",
                 line),
        as_json("", "json", "Print the answer as it came", line) {}

  TCLAP::ValueArg<std::string> instance;
  TCLAP::SwitchArg as_json;
};

struct QueryArguments : InstanceArguments {
  explicit QueryArguments(TCLAP::CmdLine& line)
      : InstanceArguments(line),
        team("", "team", "Team", true, "", "NAME", line),
        index_set("", "index-set", "Index set", true, "", "NAME", line),
        deadline("", "deadline-ms", "Time to wait", false, 1000, "MS", line) {}

  TCLAP::ValueArg<std::string> team;
  TCLAP::ValueArg<std::string> index_set;
  TCLAP::ValueArg<uint32_t> deadline;
};

int Print(const AdminReply& reply, bool as_json) {
  const auto body = nlohmann::json::parse(reply.body, nullptr, false);
  if (as_json || body.is_discarded()) {
    std::cout << reply.body << "\n";
  } else {
    std::cout << body.dump(2) << "\n";
  }
  if (reply.http_status == 200) {
    return kExitOk;
  }
  std::cerr << "HTTP status " << reply.http_status << "\n";
  return body.is_object() && body.value("run_state", "") == "unknown"
             ? kExitUnknown
             : kExitInvalid;
}

int Send(AdminQuery query, QueryArguments& arguments) {
  query.team = TeamId(arguments.team.getValue());
  query.index_set = IndexSetId(arguments.index_set.getValue());
  query.deadline = milliseconds(arguments.deadline.getValue());
  const AdminClient client(arguments.instance.getValue(),
                           *query.deadline + kAnswerGrace);
  try {
    return Print(client.Send(query), arguments.as_json.getValue());
  } catch (const AdminCallError& error) {
    std::cerr << error.what() << "\n";
    return query.kind == RequestKind::kOperation ? kExitUnknown
                                                 : kExitUnavailable;
  }
}

}  // namespace

int QuerySearch(Arguments arguments) {
  TCLAP::CmdLine line("Searches an index set", ' ', WASABIHOOK_VERSION);
  line.setExceptionHandling(false);
  QueryArguments common(line);
  TCLAP::ValueArg<std::string> text("", "query", "Search text", true, "",
                                    "TEXT", line);
  line.parse(arguments);
  AdminQuery query;
  query.query = text.getValue();
  return Send(std::move(query), common);
}

int QueryFetch(Arguments arguments) {
  TCLAP::CmdLine line("Fetches a record", ' ', WASABIHOOK_VERSION);
  line.setExceptionHandling(false);
  QueryArguments common(line);
  TCLAP::ValueArg<std::string> key("", "record-key", "Key of the record", true,
                                   "", "KEY", line);
  line.parse(arguments);
  AdminQuery query;
  query.kind = RequestKind::kFetch;
  query.record_key = key.getValue();
  return Send(std::move(query), common);
}

int QueryOperation(Arguments arguments) {
  TCLAP::CmdLine line("Runs an operation at most once", ' ',
                      WASABIHOOK_VERSION);
  line.setExceptionHandling(false);
  QueryArguments common(line);
  TCLAP::ValueArg<std::string> record("", "record-key", "Key of the record",
                                      true, "", "KEY", line);
  TCLAP::ValueArg<std::string> body("", "operation", "JSON object or text",
                                    true, "", "BODY", line);
  TCLAP::ValueArg<std::string> key(
      "", "idempotency-key", "Names this operation; re-send with the same one",
      true, "", "KEY", line);
  TCLAP::ValueArg<int64_t> issued(
      "", "issued-at-ms",
      "When it was first issued, Unix time; needed for a re-send", false, 0,
      "MS", line);
  line.parse(arguments);
  AdminQuery query;
  query.kind = RequestKind::kOperation;
  query.record_key = record.getValue();
  query.operation = body.getValue();
  query.idempotency_key = IdempotencyKey(key.getValue());
  query.issued_at = {std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())};
  if (issued.isSet()) {
    query.issued_at = {milliseconds(issued.getValue())};
  }
  return Send(std::move(query), common);
}

int Status(Arguments arguments) {
  TCLAP::CmdLine line("Prints the status of an instance", ' ',
                      WASABIHOOK_VERSION);
  line.setExceptionHandling(false);
  InstanceArguments common(line);
  line.parse(arguments);
  const AdminClient client(common.instance.getValue(), kAnswerGrace);
  return Print(client.Status(), common.as_json.getValue());
}

}  // namespace wasabihook::ctl
