#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "runtime/thread_timer_service.h"
#include "testing/fake_platform.h"
#include "testing/fake_platform_server.h"

namespace wasabihook {
namespace {

struct CommandResult {
  int status = -1;
  std::string output;  // Standard output.
};

CommandResult RunCtl(const std::string& arguments) {
  // Tests and programs are built into the same directory.
  const std::filesystem::path directory =
      std::filesystem::canonical("/proc/self/exe").parent_path();
  const std::string command =
      (directory / "wasabihookctl").string() + " " + arguments + " 2>/dev/null";
  FILE* pipe = popen(command.c_str(), "r");
  CommandResult result;
  char buffer[4096];
  for (size_t size = 0;
       (size = std::fread(buffer, 1, sizeof(buffer), pipe)) > 0;) {
    result.output.append(buffer, size);
  }
  result.status = WEXITSTATUS(pclose(pipe));
  return result;
}

class WasabihookctlTest : public ::testing::Test {
 protected:
  ~WasabihookctlTest() override {
    server.reset();
    timers.reset();
  }

  std::string File(const std::string& name, const std::string& text) {
    const std::string path = ::testing::TempDir() + "/ctl_test_" +
                             std::to_string(getpid()) + "_" + name;
    std::ofstream(path) << text;
    return path;
  }

  CommandResult Put(const std::string& arguments) {
    return RunCtl("settings put --json --platform " + server->address() + " " +
                  arguments);
  }

  CommandResult Get() {
    return RunCtl("settings get teams/clerks --json --platform " +
                  server->address());
  }

  std::unique_ptr<ThreadTimerService> timers =
      std::make_unique<ThreadTimerService>();
  testing::FakePlatform platform{timers.get(), MakeRandomSource(1)};
  std::unique_ptr<testing::FakePlatformServer> server =
      std::make_unique<testing::FakePlatformServer>(&platform, "127.0.0.1:0");
};

const char kTeam[] = "[team]\nname = \"clerks\"\n";

// Guards against wrong exit statuses and against a put that overwrites a
// concurrent change.
TEST_F(WasabihookctlTest, PutReportsConflictsAndMerges) {
  const std::string base = File("base", kTeam);
  EXPECT_EQ(Put(base + " --change-id c-1").status, 0);
  const auto stored = nlohmann::json::parse(Get().output);
  const std::string from =
      " --base " + base + " --base-revision " +
      std::to_string(stored.at("revision").get<uint64_t>());
  const std::string first =
      File("first", std::string(kTeam) + "[limits]\nmax_queued = 3\n");
  const std::string second =
      File("second", std::string(kTeam) + "[hedging]\nmax_attempts = 2\n");
  EXPECT_EQ(Put(first + from).status, 0);
  EXPECT_EQ(Put(second + from).status, 3);
  const CommandResult merged = Put(second + from + " --merge --change-id c-9");
  EXPECT_EQ(merged.status, 0);
  EXPECT_TRUE(nlohmann::json::parse(merged.output).at("merged").get<bool>());
  const CommandResult again = Put(second + from + " --merge --change-id c-9");
  EXPECT_TRUE(
      nlohmann::json::parse(again.output).at("found_applied").get<bool>());
}

// Guards against invalid settings, an unavailable store and invalid arguments
// being reported with the same exit status.
TEST_F(WasabihookctlTest, ExitStatusesDistinguishFailures) {
  const std::string invalid = File("invalid", "[team]\nname = 1\n");
  const std::string valid = File("valid", kTeam);
  EXPECT_EQ(RunCtl("settings check " + valid).status, 0);
  EXPECT_EQ(RunCtl("settings check --subtree teams/clerks " + invalid).status,
            1);
  EXPECT_EQ(Put("--subtree teams/clerks " + invalid).status, 1);
  EXPECT_EQ(Get().status, 1);
  EXPECT_EQ(RunCtl("settings put").status, 2);
  EXPECT_EQ(RunCtl("no-such-command").status, 2);
  EXPECT_EQ(RunCtl("--version").status, 0);
  EXPECT_EQ(RunCtl("settings put --help").status, 0);
  EXPECT_EQ(RunCtl("status --instance 127.0.0.1:1").status, 4);
  testing::PlatformFaults down;
  down.down = true;
  platform.SetFaults(down);
  EXPECT_EQ(Get().status, 4);
}

}  // namespace
}  // namespace wasabihook
