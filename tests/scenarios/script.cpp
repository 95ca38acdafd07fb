// Reads scenario files.
#include "script.hpp"

#include <fstream>
#include <set>

namespace guavawick::scenarios {
namespace {

constexpr int max_include_depth = 4;
constexpr char quoted_word_marker = '\x01'; ///< precedes a token that began with a quote

[[noreturn]] void fail(const std::string& path, int line, const std::string& reason)
{
    throw script_error(path + ":" + std::to_string(line) + ": " + reason);
}

/// Splits a line into tokens; double quotes keep a text with spaces together.
std::vector<std::string> tokenise(const std::string& path, int line, const std::string& text)
{
    std::vector<std::string> tokens;
    std::string token;
    bool quoted = false;
    bool had_quotes = false;
    for (const char c : text) {
        if (c == '"') {
            // A token that begins with a quote is a word, even if it contains an equals sign.
            if (!quoted && token.empty()) {
                token.push_back(quoted_word_marker);
            }
            quoted = !quoted;
            had_quotes = true;
            continue;
        }
        if (c == '#' && !quoted && token.empty()) {
            break;
        }
        if (c == ' ' && !quoted) {
            if (!token.empty() || had_quotes) {
                tokens.push_back(token);
            }
            token.clear();
            had_quotes = false;
            continue;
        }
        token.push_back(c);
    }
    if (quoted) {
        fail(path, line, "a quote is not closed");
    }
    if (!token.empty() || had_quotes) {
        tokens.push_back(token);
    }
    return tokens;
}

duration parse_duration(const std::string& path, int line, const std::string& text)
{
    std::size_t parsed_length = 0;
    double amount = 0;
    try {
        amount = std::stod(text, &parsed_length);
    }
    catch (const std::exception&) {
        fail(path, line, "expected a time such as 500ms or 3s, not \"" + text + "\"");
    }
    const std::string unit = text.substr(parsed_length);
    if (unit == "ms") {
        return from_seconds(amount / 1000);
    }
    if (unit == "s") {
        return from_seconds(amount);
    }
    fail(path, line, "expected a time such as 500ms or 3s, not \"" + text + "\"");
}

const std::set<std::string>& known_keywords()
{
    static const std::set<std::string> keywords{"system", "upstream", "object", "withdraw", "publish",
                                                "start",  "stop",     "kill",   "freeze",   "thaw",
                                                "cut",    "heal",     "mute",   "wipe",     "call",
                                                "resend", "expect",   "pause",  "say",      "wait_for_signal",
                                                "tear",   "status"};
    return keywords;
}

script_statement make_statement(const std::string& path, int line, const std::string& text,
                                std::vector<std::string> tokens)
{
    script_statement result;
    result.file = path;
    result.line = line;
    result.text = text;
    result.keyword = tokens.front();
    if (known_keywords().count(result.keyword) == 0) {
        fail(path, line, "unknown statement \"" + result.keyword + "\"");
    }
    for (std::size_t i = 1; i < tokens.size(); ++i) {
        if (tokens[i] == "within") {
            if (i + 1 == tokens.size()) {
                fail(path, line, "expected a time after \"within\"");
            }
            result.timeout = parse_duration(path, line, tokens[++i]);
            continue;
        }
        if (tokens[i].front() == quoted_word_marker) {
            result.words.push_back(tokens[i].substr(1));
            continue;
        }
        const std::size_t equals = tokens[i].find('=');
        if (equals == std::string::npos || equals == 0 || tokens[i] == "==" || tokens[i] == ">=" ||
            tokens[i] == "<=") {
            result.words.push_back(tokens[i]);
            continue;
        }
        result.options[tokens[i].substr(0, equals)] = tokens[i].substr(equals + 1);
    }
    return result;
}

std::string replace_all(std::string text, const std::string& pattern, const std::string& replacement)
{
    for (std::size_t position = text.find(pattern); position != std::string::npos;
         position = text.find(pattern, position + replacement.size())) {
        text.replace(position, pattern.size(), replacement);
    }
    return text;
}

void read_file(const std::string& path, int depth, std::vector<script_statement>& script)
{
    std::ifstream file(path);
    if (!file) {
        throw script_error(path + ": can't be opened");
    }
    std::string text;
    for (int line = 1; std::getline(file, text); ++line) {
        std::vector<std::string> tokens = tokenise(path, line, text);
        if (tokens.empty()) {
            continue;
        }
        if (tokens.front() == "include") {
            if (tokens.size() != 2 || depth >= max_include_depth) {
                fail(path, line, "expected include FILE, at most 4 deep");
            }
            const std::size_t slash = path.rfind('/');
            read_file((slash == std::string::npos ? "" : path.substr(0, slash + 1)) + tokens[1], depth + 1,
                      script);
            continue;
        }
        if (tokens.front() != "repeat") {
            script.push_back(make_statement(path, line, text, std::move(tokens)));
            continue;
        }
        if (tokens.size() < 3 || tokens[1].find_first_not_of("0123456789") != std::string::npos) {
            fail(path, line, "expected repeat N STATEMENT");
        }
        for (int i = 1; i <= std::stoi(tokens[1]); ++i) {
            std::vector<std::string> expanded_tokens(tokens.begin() + 2, tokens.end());
            for (std::string& token : expanded_tokens) {
                token = replace_all(token, "$i", std::to_string(i));
            }
            script.push_back(make_statement(path, line, text, std::move(expanded_tokens)));
        }
    }
}

} // namespace

std::vector<script_statement> read_script(const std::string& path)
{
    std::vector<script_statement> script;
    read_file(path, 0, script);
    return script;
}

} // namespace guavawick::scenarios
