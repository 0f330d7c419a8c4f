#pragma once

#include "Lagoonpick/Observability/AuditRecord.h"

#include <string>
#include <string_view>

/// The process's log and audit log: JSON lines on standard output, through log4cxx.
///
/// Each line is written before the call returns. If the reader of standard output stops reading, the call blocks: no line
/// is dropped. Call `start` before anything else.
namespace Lagoonpick::Log {

/// Sets up the log; call once. Every line carries `process`, the names of the program and its instance.
void start(std::string_view process);

void info(std::string_view message);
void warning(std::string_view message);
void error(std::string_view message);

/// Writes one audit line.
void audit(const AuditRecord& record);

/// The JSON text of an audit line.
std::string formatAudit(const AuditRecord& record, std::string_view process);

} // namespace Lagoonpick::Log
