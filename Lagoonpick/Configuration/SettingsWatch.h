#pragma once

#include "Lagoonpick/Configuration/LoadSettings.h"

namespace Lagoonpick {

/// Detects changes of a settings file while the process runs, both by polling and on request, such as by a signal.
///
/// Not thread-safe.
template <typename ReadSettings>
class SettingsWatch {
public:
    using Settings = std::invoke_result_t<ReadSettings, SettingsReader&>;
    using Report = std::function<void(const std::string& fault)>;

    /// The current content of the file is taken as already in use.
    SettingsWatch(std::string file, ReadSettings readSettings, Report report)
        : file_(std::move(file))
        , readSettings_(readSettings)
        , report_(std::move(report))
        , text_(readFile(file_).value_or(""))
    {
    }

    /// Returns true at most once a second, when the file is to be checked by `readChanged`.
    bool isDue(Time now)
    {
        if (now < nextCheck_)
            return false;
        nextCheck_ = now + checkInterval;
        return true;
    }

    /// Returns the settings if the file has changed and has no faults; faults are reported once for each change.
    std::optional<Settings> readChanged()
    {
        auto text = readFile(file_);
        if (!text || *text == text_)
            return std::nullopt;
        text_ = *text;
        return readSettingsFile(file_, readSettings_, report_);
    }

private:
    /// Short enough that an operator who edits the file can wait for the effect.
    static constexpr Duration checkInterval = std::chrono::seconds(1);

    std::string file_;
    ReadSettings readSettings_;
    Report report_;
    std::string text_;
    Time nextCheck_;
};

} // namespace Lagoonpick
