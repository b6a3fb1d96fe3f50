#include "cli/render.h"

#include "json/json.h"
#include <algorithm>
#include <iomanip>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace dragonflytray {

using nlohmann::json;

namespace {

    std::string cellOf(const json& value)
    {
        return value.is_string() ? value.get<std::string>() : serializeJson(value);
    }

    void renderRows(std::ostream& stream, const json& rows)
    {
        std::vector<std::string> columns;
        for (const json& row : rows) {
            for (const auto& [name, value] : row.items()) {
                if (std::find(columns.begin(), columns.end(), name) == columns.end())
                    columns.push_back(name);
            }
        }
        std::vector<std::size_t> widths;
        for (const std::string& column : columns) {
            std::size_t width = column.size();
            for (const json& row : rows)
                width = std::max(width, row.contains(column) ? cellOf(row[column]).size() : 0);
            widths.push_back(width);
        }
        for (std::size_t i = 0; i < columns.size(); ++i)
            stream << std::left << std::setw(static_cast<int>(widths[i]) + 2) << columns[i];
        stream << '\n';
        for (const json& row : rows) {
            for (std::size_t i = 0; i < columns.size(); ++i)
                stream << std::left << std::setw(static_cast<int>(widths[i]) + 2) << (row.contains(columns[i]) ? cellOf(row[columns[i]]) : "");
            stream << '\n';
        }
    }

    bool isRows(const json& value)
    {
        return value.is_array() && !value.empty() && std::all_of(value.begin(), value.end(), [](const json& row) { return row.is_object(); });
    }

    void renderTable(std::ostream& stream, const json& value)
    {
        if (isRows(value))
            return renderRows(stream, value);
        if (!value.is_object()) {
            stream << cellOf(value) << '\n';
            return;
        }
        for (const auto& [name, member] : value.items()) {
            if (isRows(member)) {
                stream << name << ":\n";
                renderRows(stream, member);
            } else {
                stream << std::left << std::setw(16) << name << cellOf(member) << '\n';
            }
        }
    }

    void emitYaml(YAML::Emitter& emitter, const json& value)
    {
        if (value.is_object()) {
            emitter << YAML::BeginMap;
            for (const auto& [name, member] : value.items()) {
                emitter << YAML::Key << name << YAML::Value;
                emitYaml(emitter, member);
            }
            emitter << YAML::EndMap;
        } else if (value.is_array()) {
            emitter << YAML::BeginSeq;
            for (const json& item : value)
                emitYaml(emitter, item);
            emitter << YAML::EndSeq;
        } else {
            emitter << cellOf(value);
        }
    }

} // namespace

void render(std::ostream& stream, const json& value, OutputForm form)
{
    switch (form) {
    case OutputForm::Table:
        return renderTable(stream, value);
    case OutputForm::Json:
        stream << serializeJson(value, 2) << '\n';
        return;
    case OutputForm::Yaml: {
        YAML::Emitter emitter;
        emitYaml(emitter, value);
        stream << emitter.c_str() << '\n';
        return;
    }
    }
}

} // namespace dragonflytray
