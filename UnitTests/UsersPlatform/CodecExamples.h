#pragma once

#include "Lagoonpick/Transport/Http.h"

#include <string>

/// A valid message for each decoder, for tests that change it.
namespace Lagoonpick::UsersPlatform {

inline const std::string id = "5c0e7a21d94b36f8";

inline HttpRequest makeRequest(const std::string& method, const std::string& path, const std::string& body = {})
{
    return { .method_ = method, .path_ = path, .query_ = {}, .idempotencyKey_ = {}, .body_ = body, .headers_ = { { "host", "nony24.example" }, { "lagoonpick-deadline-ms", "2500" } }, .callerConnection_ = {} };
}

inline const std::string validJob = R"({"spec":"text","steps":[{"count":6,"cpu":1350,"mem_mb":64,"estimate_ms":52,"affinity":"r1-3"}],"best_effort":true})";
inline const std::string validHeartbeat = R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":77})";

inline const std::string validConfiguration = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s","priority":1,"max_attempts":3,"slack_factor":1.6,"target_completion_ms":60}]})";
inline const std::string validLists = R"({"clock_ms":482113,"born":77,"running":[["a.0.0.1",2,"",41,0.5]],"finished":[[58,"a.0.0.9",1,"done",""]]})";
inline const std::string validRecord = R"({"target":"i","born_ms":77,"service":"s","availability_zone":"z","labels":["a"],"milli_cores":16000,"memory_mb":1,"accelerators":0,"draining":true})";

/// Index of `MalformedCall` among the alternatives of a job call.
inline constexpr std::size_t malformedCall = 5;

} // namespace Lagoonpick::UsersPlatform
