#include "Lagoonpick/Wire/RunMessageCodec.h"
#include "platform/ConfigurationCodec.h"
#include "platform/JobCodec.h"
#include "platform/StoreCodec.h"
#include "platform/TargetCodec.h"
#include "RunAgent/TargetRecord.h"
#include "UnitTests/Support/Environment.h"
#include "UnitTests/UsersPlatform/CodecExamples.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <random>

// Damages valid messages at random and gives them to every decoder. What a decoder lets through must be fit for all that follows: it
// can be stored, sent on and decoded again. FUZZ_SEED and FUZZ_INPUTS change the seed and the number of inputs.

namespace Lagoonpick::UsersPlatform {

namespace {

constexpr std::uint64_t defaultSeed = 20261205;
constexpr std::uint64_t defaultInputs = 500'000;
constexpr int maxDamages = 4;
constexpr std::size_t maxPieceBytes = 40;

/// What single damages insert: limits of types and of fields, odd types, bytes that are no UTF-8, heads of CBOR items.
const std::vector<std::string> tokens {
    "0", "-1", "1.5", "1e400", "4294967296", "9007199254740993", "18446744073709551615", "18446744073709551616", "null", "true", "[]", "{}",
    "\"\"", "\"x\"", ",", ":", "[", "{", "]", "}", "\"", "\\u0000", "\\r\\n", "\xff", "\xc3", std::string(300, 'x'), std::string(50, '['),
    std::string(1, '\0'), "\x1b\xff\xff\xff\xff\xff\xff\xff\xff", std::string("\x1b\x00\x20\x00\x00\x00\x00\x00\x01", 9), "\x1a\xff\xff\xff\xff", "\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", std::string("\x9a\x00\x10\x00\x00", 5), "\x81", "\xf4", "\x41\xff"
};

struct Sample {
    std::string name_;
    std::string text_;
    bool isFrame_;
};

/// The bytes that hexadecimal digits stand for.
std::string fromHex(const std::string& digits)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
        bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
    return bytes;
}

std::string toHex(const std::string& bytes)
{
    std::string digits;
    for (unsigned char byte : bytes)
        digits += fmt::format("{:02x}", byte);
    return digits;
}

/// The corpus, in order of the files' names: bodies as they are, frames as hexadecimal digits.
std::vector<Sample> readCorpus()
{
    std::vector<Sample> samples;
    for (const auto& entry : std::filesystem::directory_iterator(CORPUS_FOLDER)) {
        std::ifstream file(entry.path(), std::ios::binary);
        std::string text((std::istreambuf_iterator<char>(file)), {});
        while (text.ends_with('\n'))
            text.pop_back();
        bool isHex = entry.path().extension() == ".hex";
        samples.push_back({ entry.path().filename().string(), isHex ? fromHex(text) : text, isHex });
    }
    std::sort(samples.begin(), samples.end(), [](const auto& left, const auto& right) { return left.name_ < right.name_; });
    return samples;
}

class Damage {
public:
    Damage(const std::vector<Sample>& samples, std::uint64_t seed)
        : samples_(samples)
        , random_(seed)
    {
    }

    std::string next()
    {
        std::string text = samples_[below(samples_.size())].text_;
        for (std::size_t i = 1 + below(maxDamages); i; --i)
            damage(text);
        return text;
    }

private:
    std::size_t below(std::size_t limit) { return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_); }

    void damage(std::string& text)
    {
        std::size_t place = below(text.size() + 1);
        std::size_t length = std::min(below(maxPieceBytes), text.size() - place);
        switch (below(7)) {
        case 0:
            text.insert(place, tokens[below(tokens.size())]);
            break;
        case 1:
            text.replace(place, length, tokens[below(tokens.size())]);
            break;
        case 2:
            text.erase(place, length);
            break;
        case 3:
            text.insert(place, text.substr(place, length));
            break;
        case 4: {
            const std::string& other = samples_[below(samples_.size())].text_;
            text.replace(place, length, other.substr(below(other.size()), maxPieceBytes));
            break;
        }
        case 5:
            replaceValue(text, place);
            break;
        default:
            if (place < text.size())
                text[place] = static_cast<char>(below(256));
        }
    }

    /// Replaces the value of the next field in a body, so that the body stays readable.
    void replaceValue(std::string& text, std::size_t place)
    {
        auto colon = text.find(':', place);
        auto end = text.find_first_of(",]}", colon);
        if (colon != std::string::npos && end != std::string::npos)
            text.replace(colon + 1, end - colon - 1, tokens[below(tokens.size())]);
    }

    const std::vector<Sample>& samples_;
    std::mt19937_64 random_;
};

std::string encodeOne(const Wire::RunMessage& message)
{
    return Wire::RunCodec::encode(std::vector { message });
}

bool survivesItsFrame(const Wire::RunMessage& message)
{
    auto decoded = Wire::RunCodec::decode(encodeOne(message));
    return decoded && decoded.value() == std::vector { message };
}

/// The following return what is wrong with what their decoder let through; nothing if it is rejected or fit.

std::string checkFrame(const std::string& input)
{
    auto decoded = Wire::RunCodec::decode(input);
    if (!decoded)
        return decoded.error().message_.size() < 200 ? "" : "long error";
    auto again = Wire::RunCodec::decode(Wire::RunCodec::encode(decoded.value()));
    return again && again.value() == decoded.value() ? "" : "frame that can't be sent on";
}

std::string checkHeartbeat(const std::string& input)
{
    auto heartbeat = decodeHeartbeat("i", input);
    if (!heartbeat)
        return heartbeat.error().message_.size() < 200 ? "" : "long error";
    const auto& value = heartbeat.value();
    auto record = decodeTargetRecord(encodeTargetRecord(value));
    if (!record || record.value().incarnation_ != value.incarnation_ || record.value().labels_ != value.labels_ || record.value().capacity_ != value.capacity_ || record.value().service_ != value.service_)
        return "heartbeat that can't be restored from its record";
    return survivesItsFrame(Wire::TargetReport { .isOpen_ = true, .service_ = value.service_, .labels_ = value.labels_, .capacity_ = value.capacity_ }) ? "" : "heartbeat that can't be reported";
}

std::string checkJob(const std::string& input)
{
    auto call = decodeJobCall(makeRequest("POST", "/p/" + id, input));
    const auto* job = std::get_if<JobRequest>(&call);
    if (!job || job->requiredLabel_.size() > 256)
        return {};
    bool isSane = job->estimate_ >= Duration() && job->estimate_ <= std::chrono::hours(24) && job->callerTimeout_ >= Duration();
    bool isSent = survivesItsFrame(Wire::StartRun { .run_ = 1, .task_ = job->id_ + ".0.0.0", .payload_ = job->payload_, .requiredLabel_ = job->requiredLabel_, .need_ = job->need_, .workMicroseconds_ = static_cast<std::uint64_t>(job->estimate_.count()) });
    return isSane && isSent ? "" : "job that can't be sent to an agent";
}

std::string checkLists(const std::string& input)
{
    auto reply = decodeLeaseReply(1, { ExchangeStage::Answered, 200, input });
    bool areNamed = std::all_of(reply.running_.begin(), reply.running_.end(), [](const auto& row) { return !row.name_.task_.empty() && row.name_.number_ && row.percent_ <= 100; });
    areNamed = areNamed && std::all_of(reply.ended_.begin(), reply.ended_.end(), [](const auto& row) { return !row.name_.task_.empty() && row.name_.number_ && row.number_; });
    (void)decodeCallReply(1, { ExchangeStage::Answered, 409, input });
    return areNamed ? "" : "row without a run";
}

std::string checkConfiguration(const std::string& input)
{
    auto queues = decodeConfiguration(input);
    if (!queues)
        return {};
    bool areSane = std::all_of(queues.value().rules().begin(), queues.value().rules().end(), [](const auto& rule) {
        return rule.slackFactor_ >= 0 && rule.slackFactor_ <= 1000 && rule.maxAttempts_ && rule.allowance_ >= Duration();
    });
    return areSane && survivesItsFrame(Wire::ConfigurationCopy { queues.value().version(), input }) ? "" : "configuration that can't be passed on";
}

std::string checkStore(const std::string& input)
{
    auto read = decodeReadResult(input);
    auto page = decodeListPage(input);
    auto changes = decodeWatchResult(input, 7);
    auto lease = decodeLeaseId(input);
    if (read && (!read.value().item_ || read.value().item_->key_.empty()))
        return "read without an item";
    if (changes && changes.value().revision_ < 7)
        return "watch that goes back";
    return lease && lease.value().find_first_of(" \r\n/") != std::string::npos ? "lease that no path can hold" : "";
}

std::string checkAll(const std::string& input)
{
    (void)decodeTargetRecord(input);
    for (auto* check : { checkFrame, checkHeartbeat, checkJob, checkLists, checkConfiguration, checkStore }) {
        if (auto fault = check(input); !fault.empty())
            return fault;
    }
    return {};
}

} // namespace

// Guards against: a decoder ended the process, or let something through that a later one rejects or that no call can hold.
TEST_CASE("Damaged messages are rejected or fit for all that follows")
{
    auto samples = readCorpus();
    REQUIRE(samples.size() >= 20);
    for (const auto& sample : samples) {
        INFO(sample.name_);
        CHECK(checkAll(sample.text_).empty());
        if (sample.isFrame_)
            CHECK(Wire::RunCodec::decode(sample.text_).has_value());
    }
    Damage damage(samples, numberFromEnvironment("FUZZ_SEED", defaultSeed));
    auto inputs = numberFromEnvironment("FUZZ_INPUTS", defaultInputs);
    for (std::uint64_t i = 0; i < inputs; ++i) {
        std::string input = damage.next();
        std::string fault = checkAll(input);
        if (!fault.empty())
            FAIL(fault << ", input " << i << ", in hexadecimal digits: " << toHex(input));
    }
}

} // namespace Lagoonpick::UsersPlatform
