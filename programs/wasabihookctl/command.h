#ifndef PROGRAMS_WASABIHOOKCTL_COMMAND_H_
#define PROGRAMS_WASABIHOOKCTL_COMMAND_H_

// Subcommands of wasabihookctl. The first argument is the command name shown in
// the help text. Each subcommand returns an exit status.

#include <string>
#include <vector>

namespace wasabihook::ctl {

// Exit statuses, see docs/operations-ctl.md.
inline constexpr int kExitOk = 0;
inline constexpr int kExitInvalid =
    1;  // Invalid settings or an error response.
inline constexpr int kExitUsage = 2;
inline constexpr int kExitConflict = 3;
inline constexpr int kExitUnavailable = 4;
inline constexpr int kExitUnknown =
    5;  // A write or operation may have taken effect.

using Arguments = std::vector<std::string>;

int SettingsCheck(Arguments arguments);
int SettingsSchema(Arguments arguments);
int SettingsGet(Arguments arguments);
int SettingsPut(Arguments arguments);
int SettingsDiff(Arguments arguments);
int SettingsWatch(Arguments arguments);
int QuerySearch(Arguments arguments);
int QueryFetch(Arguments arguments);
int QueryOperation(Arguments arguments);
int Status(Arguments arguments);
int Report(Arguments arguments);

}  // namespace wasabihook::ctl

#endif  // PROGRAMS_WASABIHOOKCTL_COMMAND_H_
