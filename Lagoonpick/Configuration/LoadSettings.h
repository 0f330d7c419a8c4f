#pragma once

#include "Lagoonpick/Configuration/CommandLine.h"
#include "Lagoonpick/Configuration/SettingsReader.h"

#include <functional>
#include <iostream>
#include <random>

namespace Lagoonpick {

/// A number that no other process on any instance is likely to draw.
inline std::uint64_t drawSeed()
{
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32 | device();
}

/// A program's settings, or how it is to exit without them.
template <typename Settings>
struct LoadedSettings {
    std::optional<ExitCode> exit_;
    Settings settings_ {};
    std::string file_;
};

/// Reads a settings file; every fault is told through `report`.
template <typename ReadSettings>
auto readSettingsFile(const std::string& file, ReadSettings readSettings, const std::function<void(const std::string&)>& report)
{
    using Settings = std::invoke_result_t<ReadSettings, SettingsReader&>;
    auto text = readFile(file);
    if (!text) {
        report("can't read " + file);
        return std::optional<Settings>();
    }
    SettingsReader reader(file, *text);
    Settings settings = readSettings(reader);
    auto faults = reader.finish();
    for (const auto& fault : faults)
        report(fault.toString());
    return faults.empty() ? std::optional<Settings>(std::move(settings)) : std::nullopt;
}

/// Reads the command line and the settings; tells of faults on standard error.
template <typename ReadSettings>
auto loadSettings(int argc, char** argv, const ProgramInfo& info, ReadSettings readSettings)
{
    LoadedSettings<std::invoke_result_t<ReadSettings, SettingsReader&>> loaded;
    CommandLine line = readCommandLine(argc, argv, info);
    loaded.exit_ = line.exit_;
    loaded.file_ = line.configFile_;
    if (loaded.exit_)
        return loaded;
    auto settings = readSettingsFile(line.configFile_, readSettings, [&](const std::string& fault) { std::cerr << info.name_ << ": " << fault << "\n"; });
    if (!settings) {
        loaded.exit_ = ExitCode::BadSettings;
        return loaded;
    }
    loaded.settings_ = std::move(*settings);
    if (line.isCheckOnly_) {
        std::cout << line.configFile_ << ": settings are good\n";
        loaded.exit_ = ExitCode::Success;
    }
    return loaded;
}

} // namespace Lagoonpick
