#include "RunAgent/TargetRecord.h"

#include "platform/JsonFields.h"

#include <array>

namespace Lagoonpick {

namespace json = boost::json;
using UsersPlatform::FieldRule;
using UsersPlatform::FieldType;

namespace {

constexpr std::array<FieldRule, 9> recordFields { {
    { "target", FieldType::Name },
    { "born_ms", FieldType::Counter },
    { "service", FieldType::Name },
    { "availability_zone", FieldType::OptionalName },
    { "labels", FieldType::Labels },
    { "milli_cores", FieldType::Unsigned },
    { "memory_mb", FieldType::Unsigned },
    { "accelerators", FieldType::Unsigned },
    { "draining", FieldType::Flag },
} };

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
    auto fault = UsersPlatform::findFieldFault(*record, recordFields);
    if (!fault.empty())
        return fail(ErrorCode::Malformed, std::move(fault));
    TargetHeartbeat heartbeat { .incarnation_ = { *UsersPlatform::readString(*record, "target"), *UsersPlatform::readUnsigned(*record, "born_ms") }, .service_ = *UsersPlatform::readString(*record, "service"), .availabilityZone_ = *UsersPlatform::readString(*record, "availability_zone") };
    if (!UsersPlatform::isVisibleName(heartbeat.incarnation_.id_))
        return fail(ErrorCode::Malformed, "the field 'target' is no id");
    heartbeat.isDraining_ = UsersPlatform::readBool(*record, "draining");
    heartbeat.capacity_ = { UsersPlatform::readAmount(*record, "milli_cores"), UsersPlatform::readAmount(*record, "memory_mb"), UsersPlatform::readAmount(*record, "accelerators") };
    heartbeat.labels_ = UsersPlatform::readStrings(*record, "labels");
    return heartbeat;
}

} // namespace Lagoonpick
