#pragma once

#include "Lagoonpick/Configuration/LoadSettings.h"

namespace Lagoonpick {

/// Notices that a settings file was changed while its process runs, with or without a signal.
///
/// Not thread-safe.
template <typename ReadSettings>
class SettingsWatch {
public:
    using Settings = std::invoke_result_t<ReadSettings, SettingsReader&>;
    using Report = std::function<void(const std::string& fault)>;

    /// What the file holds now is taken to be in force.
    SettingsWatch(std::string file, ReadSettings readSettings, Report report)
        : file_(std::move(file))
        , readSettings_(readSettings)
        , report_(std::move(report))
        , text_(readFile(file_).value_or(""))
    {
    }

    /// True once in each interval between looks at the file.
    bool isDue(Time now)
    {
        if (now < nextCheck_)
            return false;
        nextCheck_ = now + checkInterval;
        return true;
    }

    /// The settings, if the file has changed and is good; its faults are reported.
    std::optional<Settings> readChanged()
    {
        auto text = readFile(file_);
        if (!text || *text == text_)
            return std::nullopt;
        text_ = *text;
        return readSettingsFile(file_, readSettings_, report_);
    }

private:
    /// Operators expect a change to be seen while they look.
    static constexpr Duration checkInterval = std::chrono::seconds(1);

    std::string file_;
    ReadSettings readSettings_;
    Report report_;
    std::string text_;
    Time nextCheck_;
};

} // namespace Lagoonpick
