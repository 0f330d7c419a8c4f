#include "RunAgent/TargetRecord.h"

#include "platform/JsonFields.h"

namespace Lagoonpick {

namespace json = boost::json;

namespace {

std::string readStringOrEmpty(const json::object& record, std::string_view name)
{
    return UsersPlatform::readString(record, name).value_or("");
}

} // namespace

std::string encodeTargetRecord(const TargetHeartbeat& heartbeat)
{
    json::array labels;
    for (const auto& label : heartbeat.labels_)
        labels.emplace_back(label);
    json::object record { { "target", heartbeat.incarnation_.id_ }, { "born_ms", heartbeat.incarnation_.startedAt_ }, { "service", heartbeat.service_ },
        { "availability_zone", heartbeat.availabilityZone_ }, { "labels", std::move(labels) }, { "milli_cores", heartbeat.capacity_.milliCores_ },
        { "memory_mb", heartbeat.capacity_.memoryMegabytes_ }, { "accelerators", heartbeat.capacity_.accelerators_ }, { "draining", heartbeat.isDraining_ } };
    return json::serialize(record);
}

Outcome<TargetHeartbeat> decodeTargetRecord(std::string_view text)
{
    auto record = UsersPlatform::parseObject(text);
    if (!record)
        return fail(ErrorCode::Malformed, "the target's record is not a JSON object");
    const json::value* draining = record->if_contains("draining");
    TargetHeartbeat heartbeat { .incarnation_ = { readStringOrEmpty(*record, "target"), UsersPlatform::readUnsigned(*record, "born_ms").value_or(0) }, .service_ = readStringOrEmpty(*record, "service"), .availabilityZone_ = readStringOrEmpty(*record, "availability_zone") };
    if (!heartbeat.incarnation_.isValid() || heartbeat.service_.empty() || !draining || !draining->is_bool())
        return fail(ErrorCode::Malformed, "the target's record lacks a required field");
    heartbeat.isDraining_ = draining->get_bool();
    heartbeat.capacity_ = { UsersPlatform::readAmount(*record, "milli_cores"), UsersPlatform::readAmount(*record, "memory_mb"), UsersPlatform::readAmount(*record, "accelerators") };
    heartbeat.labels_ = UsersPlatform::readStrings(*record, "labels");
    return heartbeat;
}

} // namespace Lagoonpick
