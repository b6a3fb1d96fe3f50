#pragma once

// What a process logs in JSON, for tests.
//
// Example:
//
//     CapturedLog log;
//     logInfo(LogPart::Daemon, text);
//     CHECK(log.takeLine()["message"] == text);

#include "telemetry/log.h"
#include "json/json.h"
#include <iostream>
#include <sstream>

namespace dragonflytray {

// CapturedLog takes what is logged while it exists. Lines are taken when no other thread logs.
class CapturedLog {
public:
    CapturedLog()
        : original(std::cout.rdbuf(this->lines.rdbuf()))
    {
        startLogging({ .level = LogLevel::Debug, .format = LogFormat::Json });
    }
    ~CapturedLog() { std::cout.rdbuf(this->original); }
    CapturedLog(const CapturedLog&) = delete;
    CapturedLog& operator=(const CapturedLog&) = delete;

    // takeLine() returns the next line as an object, null after the last line, or a discarded value if the line is not JSON.
    nlohmann::json takeLine()
    {
        std::string line;
        if (std::getline(this->lines, line))
            return parseJson(line);
        this->lines.clear();
        return nullptr;
    }

private:
    std::stringstream lines;
    std::streambuf* original;
};

} // namespace dragonflytray
