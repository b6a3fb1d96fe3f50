// Seeded mutations of the example files: the reader neither fails nor hangs, and always says where.

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

        std::size_t below(std::size_t limit) { return this->random() % std::max<std::size_t>(limit, 1); }

        void changeByte(std::string& text) { text[this->below(text.size())] = static_cast<char>(this->random()); }

        void changeToken(std::string& text)
        {
            static constexpr std::array<std::string_view, 16> tokens { "{", "}", "[", "]", ": ", "- ", "&a", "*a", "|", "!!int", "-1", "1e308", ".nan", ".inf", "\n", "? " };
            text.insert(this->below(text.size()), tokens[this->below(tokens.size())]);
        }

        // moveLine() drops or repeats a line, or writes it elsewhere.
        void moveLine(std::string& text)
        {
            const std::size_t begin = text.rfind('\n', this->below(text.size())) + 1; // npos + 1 is 0
            const std::size_t end = std::min(text.find('\n', begin), text.size() - 1) + 1;
            const std::string line = text.substr(begin, end - begin);
            if (this->random() % 2)
                text.erase(begin, end - begin);
            text.insert(this->below(text.size()), line);
        }

        std::string mutate(std::string text)
        {
            using Mutation = void (ExampleFixture::*)(std::string&);
            static constexpr std::array<Mutation, 3> mutations { &ExampleFixture::changeByte, &ExampleFixture::changeToken, &ExampleFixture::moveLine };
            for (std::size_t count = 1 + this->below(4); count > 0 && !text.empty(); --count)
                (this->*mutations[this->below(mutations.size())])(text);
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

    TEST_CASE_METHOD(ExampleFixture, "ParseDeclaration_mutatedExamples_areReadOrHaveAFindingWithALine")
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
