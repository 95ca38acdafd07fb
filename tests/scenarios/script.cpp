// Reads the scenario language.
#include "script.hpp"

#include <fstream>
#include <set>

namespace guavawick::scenarios {
namespace {

constexpr int most_includes = 4;
constexpr char word_mark = '\x01'; ///< before a token that began with a quote

[[noreturn]] void fail(const std::string& path, int line, const std::string& reason)
{
    throw script_error(path + ":" + std::to_string(line) + ": " + reason);
}

/// Splits a line into tokens; double quotes keep spaces together.
std::vector<std::string> split(const std::string& path, int line, const std::string& text)
{
    std::vector<std::string> tokens;
    std::string token;
    bool quoted = false;
    bool any = false;
    for (const char c : text) {
        if (c == '"') {
            // A token that begins with a quote is a word, whatever it holds.
            if (!quoted && token.empty()) {
                token.push_back(word_mark);
            }
            quoted = !quoted;
            any = true;
            continue;
        }
        if (c == '#' && !quoted && token.empty()) {
            break;
        }
        if (c == ' ' && !quoted) {
            if (!token.empty() || any) {
                tokens.push_back(token);
            }
            token.clear();
            any = false;
            continue;
        }
        token.push_back(c);
    }
    if (quoted) {
        fail(path, line, "a quote is not closed");
    }
    if (!token.empty() || any) {
        tokens.push_back(token);
    }
    return tokens;
}

duration read_time(const std::string& path, int line, const std::string& text)
{
    std::size_t used = 0;
    double amount = 0;
    try {
        amount = std::stod(text, &used);
    }
    catch (const std::exception&) {
        fail(path, line, "expected a time such as 500ms or 3s, not \"" + text + "\"");
    }
    const std::string unit = text.substr(used);
    if (unit == "ms") {
        return from_seconds(amount / 1000);
    }
    if (unit == "s") {
        return from_seconds(amount);
    }
    fail(path, line, "expected a time such as 500ms or 3s, not \"" + text + "\"");
}

const std::set<std::string>& known_verbs()
{
    static const std::set<std::string> verbs{"system", "upstream", "object", "withdraw", "publish",
                                             "start",  "stop",     "kill",   "freeze",   "thaw",
                                             "cut",    "heal",     "mute",   "wipe",     "call",
                                             "resend", "expect",   "pause",  "say",      "wait_for_signal",
                                             "tear",   "status"};
    return verbs;
}

statement make_statement(const std::string& path, int line, const std::string& text,
                         std::vector<std::string> tokens)
{
    statement made;
    made.file = path;
    made.line = line;
    made.text = text;
    made.verb = tokens.front();
    if (known_verbs().count(made.verb) == 0) {
        fail(path, line, "unknown statement \"" + made.verb + "\"");
    }
    for (std::size_t i = 1; i < tokens.size(); ++i) {
        if (tokens[i] == "within") {
            if (i + 1 == tokens.size()) {
                fail(path, line, "expected a time after \"within\"");
            }
            made.within = read_time(path, line, tokens[++i]);
            continue;
        }
        if (tokens[i].front() == word_mark) {
            made.words.push_back(tokens[i].substr(1));
            continue;
        }
        const std::size_t equals = tokens[i].find('=');
        if (equals == std::string::npos || equals == 0 || tokens[i] == "==" || tokens[i] == ">=" ||
            tokens[i] == "<=") {
            made.words.push_back(tokens[i]);
            continue;
        }
        made.options[tokens[i].substr(0, equals)] = tokens[i].substr(equals + 1);
    }
    return made;
}

std::string replace_all(std::string text, const std::string& from, const std::string& to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

void read_into(const std::string& path, int depth, std::vector<statement>& into)
{
    std::ifstream file(path);
    if (!file) {
        throw script_error(path + ": can't be opened");
    }
    std::string text;
    for (int line = 1; std::getline(file, text); ++line) {
        std::vector<std::string> tokens = split(path, line, text);
        if (tokens.empty()) {
            continue;
        }
        if (tokens.front() == "include") {
            if (tokens.size() != 2 || depth >= most_includes) {
                fail(path, line, "expected include FILE, at most 4 deep");
            }
            const std::size_t slash = path.rfind('/');
            read_into((slash == std::string::npos ? "" : path.substr(0, slash + 1)) + tokens[1], depth + 1,
                      into);
            continue;
        }
        if (tokens.front() != "repeat") {
            into.push_back(make_statement(path, line, text, std::move(tokens)));
            continue;
        }
        if (tokens.size() < 3 || tokens[1].find_first_not_of("0123456789") != std::string::npos) {
            fail(path, line, "expected repeat N STATEMENT");
        }
        for (int i = 1; i <= std::stoi(tokens[1]); ++i) {
            std::vector<std::string> one(tokens.begin() + 2, tokens.end());
            for (std::string& token : one) {
                token = replace_all(token, "$i", std::to_string(i));
            }
            into.push_back(make_statement(path, line, text, std::move(one)));
        }
    }
}

} // namespace

std::vector<statement> read_script(const std::string& path)
{
    std::vector<statement> script;
    read_into(path, 0, script);
    return script;
}

} // namespace guavawick::scenarios
