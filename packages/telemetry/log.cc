#include "telemetry/log.h"

#include "json/json.h"
#include <atomic>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace dragonflytray {

namespace {

    std::atomic<LogLevel> activeLevel { LogLevel::Info };
    std::atomic<LogFormat> activeFormat { LogFormat::Text };

    std::string formatText(LogPart part, const std::string& sentence)
    {
        return "[" + std::string(logPartNames.nameOf(part)) + "] " + sentence;
    }

    std::string formatJson(LogLevel level, LogPart part, const std::string& sentence)
    {
        const nlohmann::json line {
            { "level", logLevelNames.nameOf(level) },
            { "part", logPartNames.nameOf(part) },
            { "message", sentence },
        };
        // The logger's own format opens the object with the time.
        return serializeJson(line).substr(1);
    }

    void write(LogLevel level, LogPart part, const std::string& sentence)
    {
        if (level > activeLevel)
            return;
        const std::string line = activeFormat == LogFormat::Json ? formatJson(level, part, sentence) : formatText(part, sentence);
        switch (level) {
        case LogLevel::Error:
            LOG(ERROR) << line;
            break;
        case LogLevel::Warning:
            LOG(WARNING) << line;
            break;
        case LogLevel::Info:
            LOG(INFO) << line;
            break;
        case LogLevel::Debug:
            LOG(DEBUG) << line;
            break;
        }
    }

    void writeFieldsAsText(LogPart part, std::string_view event, const std::vector<LogField>& fields)
    {
        std::string line = std::string(event);
        for (const LogField& field : fields) {
            if (!field.value.empty())
                line += " " + std::string(field.name) + "=" + field.value;
        }
        LOG(INFO) << formatText(part, line);
    }

} // namespace

void logFields(LogPart part, std::string_view event, const std::vector<LogField>& fields)
{
    if (LogLevel::Info > activeLevel)
        return;
    if (activeFormat == LogFormat::Text)
        return writeFieldsAsText(part, event, fields);
    nlohmann::json line { { "level", logLevelNames.nameOf(LogLevel::Info) }, { "part", logPartNames.nameOf(part) }, { "event", event } };
    for (const LogField& field : fields) {
        if (!field.value.empty())
            line[std::string(field.name)] = field.value;
    }
    // The logger's own format opens the object with the time.
    LOG(INFO) << serializeJson(line).substr(1);
}

void setLogLevel(LogLevel level)
{
    activeLevel = level;
}

void startLogging(LogOptions options)
{
    activeLevel = options.level;
    activeFormat = options.format;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, options.format == LogFormat::Json ? "{\"time\":\"%datetime{%Y-%M-%dT%H:%m:%s.%g}\",%msg" : "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureLogger("default", configuration);
}

void logError(LogPart part, const std::string& sentence)
{
    write(LogLevel::Error, part, sentence);
}

void logWarning(LogPart part, const std::string& sentence)
{
    write(LogLevel::Warning, part, sentence);
}

void logInfo(LogPart part, const std::string& sentence)
{
    write(LogLevel::Info, part, sentence);
}

void logDebug(LogPart part, const std::string& sentence)
{
    write(LogLevel::Debug, part, sentence);
}

} // namespace dragonflytray
