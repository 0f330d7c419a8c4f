#include "Lagoonpick/Configuration/SettingsReader.h"
#include "Lagoonpick/Core/SocketAddress.h"

#include <catch2/catch.hpp>

using namespace Lagoonpick;

namespace {

/// Reads a setting of each kind except decimal, and returns the faults.
std::vector<SettingFault> readFaults(std::string_view text)
{
    SettingsReader reader("file.ini", text);
    reader.text("entry", "name");
    reader.address("entry", "address");
    reader.number("limits", "count", 5, 1, 10);
    reader.milliseconds("times", "wait_ms", std::chrono::seconds(1), std::chrono::milliseconds(10), std::chrono::seconds(60));
    return reader.finish();
}

constexpr auto validText = "[entry]\nname = a\naddress = 127.0.0.1:7000\n";

} // namespace

TEST_CASE("A valid file has no faults", "[SettingsReader]")
{
    CHECK(readFaults(validText).empty());
    CHECK(readFaults("# remark\n; remark\n\n  [entry]  \n name=a\naddress = [::1]:1\n[limits]\ncount = 10\n[times]\nwait_ms = 10\n").empty());
}

TEST_CASE("Every fault has its file, line and key, what was found and how to correct it", "[SettingsReader]")
{
    struct Row {
        const char* addedText_;
        std::uint32_t line_;
        const char* section_;
        const char* key_;
        const char* found_;
        const char* remedy_;
    };
    auto row = GENERATE(values<Row>({
        { "[limits]\ncount = 11", 5, "limits", "count", "11", "from 1 to 10" },
        { "[limits]\ncount = 0", 5, "limits", "count", "0", "from 1 to 10" },
        { "[limits]\ncount = ten", 5, "limits", "count", "ten", "whole number" },
        { "[limits]\ncount = 1x", 5, "limits", "count", "1x", "whole number" },
        { "[limits]\ncount =", 5, "limits", "count", "", "whole number" },
        { "[limits]\ncount = 99999999999999999999", 5, "limits", "count", "99999999999999999999", "whole number" },
        { "[times]\nwait_ms = 5", 5, "times", "wait_ms", "5", "from 10 to 60000" },
        { "colour = red", 4, "entry", "colour", "red", "not known" },
        { "[nothing]\nname = a", 5, "nothing", "name", "a", "not known" },
        { "name = b", 4, "entry", "name", "b", "once" },
        { "no equals sign", 4, "entry", "", "no equals sign", "key = value" },
    }));
    CAPTURE(row.addedText_);
    auto faults = readFaults(std::string(validText) + row.addedText_);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].file_ == "file.ini");
    CHECK(faults[0].line_ == row.line_);
    CHECK(faults[0].section_ == row.section_);
    CHECK(faults[0].key_ == row.key_);
    CHECK(faults[0].found_ == row.found_);
    CHECK(faults[0].remedy_.find(row.remedy_) != std::string::npos);
}

TEST_CASE("All faults are reported together, including missing keys", "[SettingsReader]")
{
    auto faults = readFaults("[entry]\naddress = localhost:1\n[limits]\ncount = x\n");
    CHECK(faults.size() == 3);
}

TEST_CASE("A socket address needs a numeric IP address and a port", "[SettingsReader]")
{
    struct Row {
        const char* text_;
        bool isValid_;
    };
    auto row = GENERATE(values<Row>({
        { "127.0.0.1:80", true },
        { "[::1]:80", true },
        { "0.0.0.0:65535", true },
        { "127.0.0.1", false },
        { "127.0.0.1:", false },
        { "127.0.0.1:65536", false },
        { "127.0.0.1:-1", false },
        { "localhost:80", false },
        { "::1:80", false },
        { "[127.0.0.1]:80", false },
        { "", false },
        { ":80", false },
    }));
    CAPTURE(row.text_);
    CHECK(isSocketAddress(row.text_) == row.isValid_);
}
