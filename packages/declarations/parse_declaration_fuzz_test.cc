// Fuzzes the parser with seeded mutations of the example files. It must neither crash nor hang, and its first
// finding must give a line.

#include "declarations/declarations.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <random>
#include <sstream>

namespace dragonflytray {
namespace {

    constexpr int mutationsPerFile = 12000;

    struct ExampleFixture {
        std::mt19937_64 random { 20261204 };

        static std::string read(const std::string& name)
        {
            std::ifstream stream("../../examples/" + name);
            REQUIRE(stream);
            std::ostringstream text;
            text << stream.rdbuf();
            return text.str();
        }

        std::size_t randomBelow(std::size_t limit) { return this->random() % std::max<std::size_t>(limit, 1); }

        void changeByte(std::string& text) { text[this->randomBelow(text.size())] = static_cast<char>(this->random()); }

        void insertToken(std::string& text)
        {
            static constexpr std::array<std::string_view, 16> tokens { "{", "}", "[", "]", ": ", "- ", "&a", "*a", "|", "!!int", "-1", "1e308", ".nan", ".inf", "\n", "? " };
            text.insert(this->randomBelow(text.size()), tokens[this->randomBelow(tokens.size())]);
        }

        // moveLine() moves a line to a random position, or inserts a copy of it there.
        void moveLine(std::string& text)
        {
            const std::size_t begin = text.rfind('\n', this->randomBelow(text.size())) + 1; // npos + 1 is 0
            const std::size_t end = std::min(text.find('\n', begin), text.size() - 1) + 1;
            const std::string line = text.substr(begin, end - begin);
            if (this->random() % 2)
                text.erase(begin, end - begin);
            text.insert(this->randomBelow(text.size()), line);
        }

        std::string mutate(std::string text)
        {
            using Mutation = void (ExampleFixture::*)(std::string&);
            static constexpr std::array<Mutation, 3> mutations { &ExampleFixture::changeByte, &ExampleFixture::insertToken, &ExampleFixture::moveLine };
            for (std::size_t count = 1 + this->randomBelow(4); count > 0 && !text.empty(); --count)
                (this->*mutations[this->randomBelow(mutations.size())])(text);
            return text;
        }
    };

    TEST_CASE_METHOD(ExampleFixture, "ParseDeclaration_exampleFiles_haveNoFindings")
    {
        const std::string name = GENERATE("serrano.yaml", "co-op.yaml");

        auto declaration = parseDeclaration(read(name), name);

        INFO((declaration ? "" : declaration.error().text()));
        CHECK(declaration);
    }

    TEST_CASE_METHOD(ExampleFixture, "ParseDeclaration_mutatedExamples_areParsedOrHaveAFindingWithALine")
    {
        const std::string name = GENERATE("serrano.yaml", "co-op.yaml");
        const std::string example = read(name);
        for (int i = 0; i < mutationsPerFile; ++i) {
            const std::string text = this->mutate(example);
            auto declaration = parseDeclaration(text, name);
            if (declaration)
                continue;
            INFO(text << "\n"
                      << declaration.error().text());
            REQUIRE_FALSE(declaration.error().isEmpty());
            REQUIRE(declaration.error().all().front().place.line > 0);
        }
    }

} // namespace
} // namespace dragonflytray
