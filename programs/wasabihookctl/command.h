#ifndef PROGRAMS_WASABIHOOKCTL_COMMAND_H_
#define PROGRAMS_WASABIHOOKCTL_COMMAND_H_

// Sub-commands of wasabihookctl. Each takes its arguments, the first of which
// is the name shown in its help, and returns an exit status.

#include <string>
#include <vector>

namespace wasabihook::ctl {

// Exit statuses; docs/operations-ctl.md explains them.
inline constexpr int kExitOk = 0;
inline constexpr int kExitInvalid = 1;  // Invalid settings, or an error answer.
inline constexpr int kExitUsage = 2;
inline constexpr int kExitConflict = 3;
inline constexpr int kExitUnavailable = 4;
inline constexpr int kExitUnknown = 5;  // A write or an operation may have run.

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
