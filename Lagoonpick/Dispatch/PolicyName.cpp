#include "Lagoonpick/Dispatch/PolicyName.h"

namespace Lagoonpick {

Outcome<PolicyName> readPolicyName(std::string_view text)
{
    if (text == "expected_finish")
        return PolicyName::ExpectedFinish;
    if (text == "two_choices")
        return PolicyName::TwoChoices;
    if (text == "least_load")
        return PolicyName::LeastLoad;
    if (text == "random")
        return PolicyName::RandomTarget;
    return fail(ErrorCode::Malformed, "give expected_finish, two_choices, least_load or random");
}

} // namespace Lagoonpick
