#include "Cases.h"

#include <cstdlib>
#include <iostream>
#include <map>

/// Plays one case: `review-2 CASE RECORD-FILE`. With `TROUBLE=0` in the environment it does so without the disruption.
int main(int argc, char** argv)
{
    using namespace Lagoonpick::Review2;
    const std::map<std::string, Verdict (*)(const std::string&, bool)> cases {
        { "callers-who-leave", playCallersWhoLeave },
        { "repeat-after-cancel", playRepeatAfterCancel },
    };
    auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: review-2 CASE RECORD-FILE\n";
        return static_cast<int>(Verdict::NotRun);
    }
    const char* trouble = std::getenv("TROUBLE");
    bool isDisturbed = !trouble || std::string(trouble) != "0";
    try {
        return static_cast<int>(found->second(argv[2], isDisturbed));
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return static_cast<int>(Verdict::NotRun);
    }
}
