#pragma once

#include "Lagoonpick/Wire/RunMessageCodec.h"
#include "UnitTests/Runs/RunMessageExamples.h"
#include "UnitTests/Support/CborItems.h"

namespace Lagoonpick {

inline std::string toFrame(const Wire::RunMessage& message)
{
    return Wire::RunCodec::encode(std::vector { message });
}

inline std::string replaceItem(const Wire::RunMessage& message, std::size_t index, const std::string& item)
{
    auto items = splitItems(toFrame(message));
    items.at(index) = item;
    return join(items);
}

inline bool isDecoded(const std::string& frame)
{
    return Wire::RunCodec::decode(frame).has_value();
}

template <typename Message>
Message exampleOf()
{
    for (const auto& message : makeOneOfEachRunMessage()) {
        if (const auto* found = std::get_if<Message>(&message))
            return *found;
    }
    return {};
}

} // namespace Lagoonpick
