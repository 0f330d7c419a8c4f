#include "RunAgent/TargetRecord.h"

#include <boost/json.hpp>

namespace Lagoonpick {

namespace json = boost::json;

namespace {

std::uint64_t numberOf(const json::object& record, std::string_view name)
{
    const json::value* value = record.if_contains(name);
    boost::system::error_code error;
    auto number = value && value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
    return error ? 0 : number;
}

std::string textOf(const json::object& record, std::string_view name)
{
    const json::value* value = record.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

std::string encodeTargetRecord(const TargetHeartbeat& heartbeat)
{
    json::array labels;
    for (const auto& label : heartbeat.labels_)
        labels.emplace_back(label);
    json::object record { { "target", heartbeat.incarnation_.id_ }, { "born_ms", heartbeat.incarnation_.bornAt_ }, { "service", heartbeat.service_ },
        { "availability_zone", heartbeat.availabilityZone_ }, { "labels", std::move(labels) }, { "milli_cores", heartbeat.capacity_.milliCores_ },
        { "memory_mb", heartbeat.capacity_.memoryMegabytes_ }, { "accelerators", heartbeat.capacity_.accelerators_ }, { "draining", heartbeat.isDraining_ } };
    return json::serialize(record);
}

Outcome<TargetHeartbeat> decodeTargetRecord(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object())
        return fail(ErrorCode::Malformed, "the target's record is not a JSON object");
    const json::object& record = value.get_object();
    const json::value* draining = record.if_contains("draining");
    TargetHeartbeat heartbeat { .incarnation_ = { textOf(record, "target"), numberOf(record, "born_ms") }, .service_ = textOf(record, "service"), .availabilityZone_ = textOf(record, "availability_zone") };
    if (!heartbeat.incarnation_.isValid() || heartbeat.service_.empty() || !draining || !draining->is_bool())
        return fail(ErrorCode::Malformed, "the target's record lacks a field");
    heartbeat.isDraining_ = draining->get_bool();
    heartbeat.capacity_ = { static_cast<std::uint32_t>(numberOf(record, "milli_cores")), static_cast<std::uint32_t>(numberOf(record, "memory_mb")), static_cast<std::uint32_t>(numberOf(record, "accelerators")) };
    const json::value* labels = record.if_contains("labels");
    if (labels && labels->is_array()) {
        for (const auto& label : labels->get_array()) {
            if (label.is_string())
                heartbeat.labels_.emplace_back(label.get_string());
        }
    }
    return heartbeat;
}

} // namespace Lagoonpick
