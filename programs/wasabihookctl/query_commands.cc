#include <tclap/CmdLine.h>

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

#include "peers/operator/admin_client.h"
#include "wasabihookctl/command.h"

namespace wasabihook::ctl {
namespace {

using std::chrono::milliseconds;

// Added to the deadline of a request to get the client-side timeout.
constexpr milliseconds kResponseTimeoutMargin{2000};

// Arguments common to all commands that call an instance.
struct InstanceArguments {
  explicit InstanceArguments(TCLAP::CmdLine& command_line)
      : instance("",
                 "instance",
                 "Caller address of the instance",
                 true,
                 "",
                 "IP:PORT",
                 command_line),
        as_json("", "json", "Print the response unmodified", command_line) {}

  TCLAP::ValueArg<std::string> instance;
  TCLAP::SwitchArg as_json;
};

struct QueryArguments : InstanceArguments {
  explicit QueryArguments(TCLAP::CmdLine& command_line)
      : InstanceArguments(command_line),
        team("", "team", "Team", true, "", "NAME", command_line),
        index_set("", "index-set", "Index set", true, "", "NAME", command_line),
        deadline("",
                 "deadline-ms",
                 "Deadline of the request",
                 false,
                 1000,
                 "MS",
                 command_line) {}

  TCLAP::ValueArg<std::string> team;
  TCLAP::ValueArg<std::string> index_set;
  TCLAP::ValueArg<uint32_t> deadline;
};

int PrintReply(const AdminReply& reply, bool as_json) {
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

int SendQuery(AdminQuery query, QueryArguments& arguments) {
  query.team = TeamId(arguments.team.getValue());
  query.index_set = IndexSetId(arguments.index_set.getValue());
  query.deadline = milliseconds(arguments.deadline.getValue());
  const AdminClient client(arguments.instance.getValue(),
                           *query.deadline + kResponseTimeoutMargin);
  try {
    return PrintReply(client.Send(query), arguments.as_json.getValue());
  } catch (const AdminCallError& error) {
    std::cerr << error.what() << "\n";
    return query.kind == RequestKind::kOperation ? kExitUnknown
                                                 : kExitUnavailable;
  }
}

}  // namespace

int QuerySearch(Arguments arguments) {
  TCLAP::CmdLine command_line("Searches an index set", ' ', WASABIHOOK_VERSION);
  command_line.setExceptionHandling(false);
  QueryArguments common(command_line);
  TCLAP::ValueArg<std::string> text("", "query", "Search text", true, "",
                                    "TEXT", command_line);
  command_line.parse(arguments);
  AdminQuery query;
  query.query = text.getValue();
  return SendQuery(std::move(query), common);
}

int QueryFetch(Arguments arguments) {
  TCLAP::CmdLine command_line("Fetches a record", ' ', WASABIHOOK_VERSION);
  command_line.setExceptionHandling(false);
  QueryArguments common(command_line);
  TCLAP::ValueArg<std::string> key("", "record-key", "Key of the record", true,
                                   "", "KEY", command_line);
  command_line.parse(arguments);
  AdminQuery query;
  query.kind = RequestKind::kFetch;
  query.record_key = key.getValue();
  return SendQuery(std::move(query), common);
}

int QueryOperation(Arguments arguments) {
  TCLAP::CmdLine command_line("Runs an operation at most once", ' ',
                              WASABIHOOK_VERSION);
  command_line.setExceptionHandling(false);
  QueryArguments common(command_line);
  TCLAP::ValueArg<std::string> record("", "record-key", "Key of the record",
                                      true, "", "KEY", command_line);
  TCLAP::ValueArg<std::string> body("", "operation", "JSON object or text",
                                    true, "", "BODY", command_line);
  TCLAP::ValueArg<std::string> key(
      "", "idempotency-key", "Identifies the operation; reuse it for a retry",
      true, "", "KEY", command_line);
  TCLAP::ValueArg<int64_t> issued_at_ms(
      "", "issued-at-ms",
      "Unix time of the first attempt; required for a retry", false, 0, "MS",
      command_line);
  command_line.parse(arguments);
  AdminQuery query;
  query.kind = RequestKind::kOperation;
  query.record_key = record.getValue();
  query.operation = body.getValue();
  query.idempotency_key = IdempotencyKey(key.getValue());
  query.issued_at = {std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())};
  if (issued_at_ms.isSet()) {
    query.issued_at = {milliseconds(issued_at_ms.getValue())};
  }
  return SendQuery(std::move(query), common);
}

int Status(Arguments arguments) {
  TCLAP::CmdLine command_line("Prints the status of an instance", ' ',
                              WASABIHOOK_VERSION);
  command_line.setExceptionHandling(false);
  InstanceArguments common(command_line);
  command_line.parse(arguments);
  const AdminClient client(common.instance.getValue(), kResponseTimeoutMargin);
  return PrintReply(client.Status(), common.as_json.getValue());
}

}  // namespace wasabihook::ctl
