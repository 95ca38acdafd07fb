// Reads settings from TOML and checks them whole.
#include "base/failure_type.hpp"
#include "base/settings_type.hpp"
#include "base/toml_include.hpp"

#include <fstream>
#include <functional>
#include <set>
#include <sstream>

namespace guavawick {
namespace {

struct number_range {
    std::int64_t least;
    std::int64_t most;
};

struct duration_range {
    duration least;
    duration most;
};

/// Collects faults of one file and remembers which keys were asked for.
class settings_reader {
public:
    explicit settings_reader(std::string path) : path_(std::move(path)) {}

    void fault(const toml::node* node, const std::string& key, const std::string& expected)
    {
        const std::uint32_t line = node != nullptr ? node->source().begin.line : 0;
        faults_ +=
            path_ + (line != 0 ? ":" + std::to_string(line) : "") + ": " + key + ": " + expected + "\n";
    }

    void text(const toml::table& table, const std::string& prefix, const char* name, std::string& into,
              bool needed = false)
    {
        const toml::node* node = take(table, prefix, name);
        if (node == nullptr) {
            missing(table, prefix, name, needed);
            return;
        }
        if (!node->is_string() || (needed && node->ref<std::string>().empty())) {
            fault(node, prefix + name, "expected a text" + std::string(needed ? " that is not empty" : ""));
            return;
        }
        into = node->ref<std::string>();
    }

    void choice(const toml::table& table, const std::string& prefix, const char* name, std::string& into,
                const std::set<std::string>& allowed)
    {
        text(table, prefix, name, into);
        if (allowed.count(into) != 0) {
            return;
        }
        std::string list;
        for (const std::string& word : allowed) {
            list += (list.empty() ? "" : ", ") + word;
        }
        fault(table.get(name), prefix + name, "expected one of " + list);
    }

    void number(const toml::table& table, const std::string& prefix, const char* name, std::uint64_t& into,
                number_range range)
    {
        const toml::node* node = take(table, prefix, name);
        if (node == nullptr) {
            return;
        }
        const auto value = node->is_integer() ? node->value<std::int64_t>() : std::nullopt;
        if (!value || *value < range.least || *value > range.most) {
            fault(node, prefix + name,
                  "expected a whole number from " + std::to_string(range.least) + " to " +
                      std::to_string(range.most));
            return;
        }
        into = static_cast<std::uint64_t>(*value);
    }

    void time(const toml::table& table, const std::string& prefix, const char* name, duration& into,
              duration_range range)
    {
        const toml::node* node = take(table, prefix, name);
        if (node == nullptr) {
            return;
        }
        const std::optional<duration> value =
            node->is_string() ? parse_time(node->ref<std::string>()) : std::nullopt;
        if (!value || *value < range.least || *value > range.most) {
            fault(node, prefix + name,
                  "expected a time with unit such as \"250ms\", \"4s\" or \"2m\", from " +
                      std::to_string(to_ms(range.least)) + "ms to " + std::to_string(to_ms(range.most)) +
                      "ms");
            return;
        }
        into = *value;
    }

    void texts(const toml::table& table, const std::string& prefix, const char* name,
               std::vector<std::string>& into)
    {
        const toml::node* node = take(table, prefix, name);
        if (node == nullptr) {
            return;
        }
        if (!node->is_array()) {
            fault(node, prefix + name, "expected a list of texts");
            return;
        }
        for (const toml::node& item : *node->as_array()) {
            if (!item.is_string()) {
                fault(&item, prefix + name, "expected a list of texts");
                return;
            }
            into.push_back(item.ref<std::string>());
        }
    }

    const toml::table* section(const toml::table& table, const char* name)
    {
        const toml::node* node = take(table, "", name);
        if (node == nullptr) {
            return nullptr;
        }
        if (!node->is_table()) {
            fault(node, name, "expected a section [" + std::string(name) + "]");
            return nullptr;
        }
        return node->as_table();
    }

    const toml::array* sections(const toml::table& table, const std::string& prefix, const char* name)
    {
        const toml::node* node = take(table, prefix, name);
        if (node == nullptr) {
            return nullptr;
        }
        if (!node->is_array_of_tables()) {
            fault(node, prefix + name, "expected sections [[" + std::string(name) + "]]");
            return nullptr;
        }
        return node->as_array();
    }

    void unknown_keys(const toml::table& table, const std::string& prefix)
    {
        for (const auto& [key, node] : table) {
            const std::string full = prefix + std::string(key.str());
            if (asked_.count(full) == 0) {
                fault(&node, full, "unknown key");
            }
        }
    }

    void address(const toml::table& table, const std::string& prefix, const char* name,
                 const std::string& value, const std::string& scheme)
    {
        if (value.empty() || is_address(value, scheme)) {
            return;
        }
        fault(table.get(name), prefix + name, "expected " + scheme + "IP:PORT");
    }

    void finish() const
    {
        if (!faults_.empty()) {
            throw settings_error(faults_.substr(0, faults_.size() - 1));
        }
    }

private:
    const toml::node* take(const toml::table& table, const std::string& prefix, const char* name)
    {
        asked_.insert(prefix + name);
        return table.get(name);
    }

    void missing(const toml::table& table, const std::string& prefix, const char* name, bool needed)
    {
        if (needed) {
            fault(&table, prefix + name, "missing; expected a text that is not empty");
        }
    }

    static std::optional<duration> parse_time(const std::string& text)
    {
        std::size_t used = 0;
        double amount = 0;
        try {
            amount = std::stod(text, &used);
        }
        catch (const std::exception&) {
            return std::nullopt;
        }
        const std::string unit = text.substr(used);
        if (unit == "ms") {
            return from_seconds(amount / 1000.0);
        }
        if (unit == "s") {
            return from_seconds(amount);
        }
        if (unit == "m") {
            return from_seconds(amount * 60.0);
        }
        return std::nullopt;
    }

    static bool is_address(const std::string& value, const std::string& scheme)
    {
        if (value.rfind(scheme, 0) != 0) {
            return false;
        }
        const std::size_t colon = value.rfind(':');
        if (colon == std::string::npos || colon < scheme.size() + 1 || colon + 1 == value.size()) {
            return false;
        }
        const std::string port = value.substr(colon + 1);
        return port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos &&
               std::stoul(port) <= 65535;
    }

    std::string path_;
    std::string faults_;
    std::set<std::string> asked_;
};

void read_links(settings_reader& reader, const toml::table& root, link_settings& links)
{
    const toml::table* table = reader.section(root, "links");
    if (table == nullptr) {
        return;
    }
    reader.text(*table, "links.", "public_key", links.public_key);
    reader.text(*table, "links.", "secret_key", links.secret_key);
    reader.text(*table, "links.", "server_key", links.server_key);
    reader.texts(*table, "links.", "allowed_keys", links.allowed_keys);
    reader.time(*table, "links.", "silence_limit", links.silence_limit, {200ms, 60s});
    constexpr std::size_t curve_key_size = 40;
    const bool any = !links.public_key.empty() || !links.secret_key.empty() || !links.server_key.empty();
    for (const std::string* key : {&links.public_key, &links.secret_key, &links.server_key}) {
        if (any && key->size() != curve_key_size) {
            reader.fault(table, "links",
                         "expected public_key, secret_key and server_key of 40 characters each");
            break;
        }
    }
    reader.unknown_keys(*table, "links.");
}

void read_replicas(settings_reader& reader, const toml::table& root, settings& into, bool needed)
{
    const toml::array* list = reader.sections(root, "", "replicas");
    if (list == nullptr) {
        if (needed) {
            reader.fault(&root, "replicas",
                         "missing; expected at least one [[replicas]] with name and endpoint");
        }
        return;
    }
    std::set<std::string> names;
    for (const toml::node& node : *list) {
        const toml::table& table = *node.as_table();
        replica_address address;
        reader.text(table, "replicas.", "name", address.name, true);
        reader.text(table, "replicas.", "endpoint", address.endpoint, true);
        reader.address(table, "replicas.", "endpoint", address.endpoint, "tcp://");
        reader.unknown_keys(table, "replicas.");
        if (!names.insert(address.name).second) {
            reader.fault(&node, "replicas.name", "the name \"" + address.name + "\" stands twice");
        }
        into.replicas.push_back(std::move(address));
    }
}

void read_entry(settings_reader& reader, const toml::table& root, entry_settings& into, bool needed)
{
    const toml::table* table = reader.section(root, "entry");
    if (table == nullptr) {
        if (needed) {
            reader.fault(&root, "entry", "missing; expected a section [entry]");
        }
        return;
    }
    const std::string at = "entry.";
    reader.text(*table, at, "listen", into.listen);
    reader.address(*table, at, "listen", into.listen, "");
    reader.text(*table, at, "link", into.link);
    reader.address(*table, at, "link", into.link, "tcp://");
    reader.number(*table, at, "workers", into.workers, {1, 64});
    reader.time(*table, at, "configuration_lease", into.configuration_lease, {500ms, 60s});
    reader.time(*table, at, "queue_limit", into.queue_limit, {100ms, 600s});
    reader.time(*table, at, "call_limit", into.call_limit, {1s, 7200s});
    reader.number(*table, at, "max_body_bytes", into.max_body_bytes, {1024, 256 << 20});
    reader.number(*table, at, "max_connections", into.max_connections, {1, 100000});
    reader.time(*table, at, "idle_limit", into.idle_limit, {1s, 3600s});
    reader.number(*table, at, "subset_size", into.subset_size, {1, 10000});
    reader.choice(*table, at, "routing", into.routing, {"expected_time", "round_robin", "no_affinity"});
    reader.unknown_keys(*table, at);
}

sidecar_settings read_sidecar(settings_reader& reader, const toml::table& table)
{
    sidecar_settings into;
    const std::string at = "sidecars.";
    reader.text(table, at, "name", into.name, true);
    reader.text(table, at, "link", into.link, true);
    reader.address(table, at, "link", into.link, "tcp://");
    reader.text(table, at, "listen_link", into.listen_link);
    reader.address(table, at, "listen_link", into.listen_link, "tcp://");
    reader.texts(table, at, "entries", into.entries);
    reader.choice(table, at, "kind", into.kind, {"model", "service"});
    reader.text(table, at, "serves", into.serves, true);
    reader.text(table, at, "upstream", into.upstream, true);
    reader.address(table, at, "upstream", into.upstream, "http://");
    reader.number(table, at, "max_window", into.max_window, {1, 4096});
    reader.time(table, at, "latency_goal", into.latency_goal, {1ms, 600s});
    reader.choice(table, at, "queue", into.queue, {"fair", "fifo"});
    reader.number(table, at, "workers", into.workers, {1, 64});
    reader.unknown_keys(table, at);
    return into;
}

void read_sidecars(settings_reader& reader, const toml::table& root, settings& into, role_kind role)
{
    const toml::array* list = reader.sections(root, "", "sidecars");
    if (list != nullptr) {
        for (const toml::node& node : *list) {
            into.sidecars.push_back(read_sidecar(reader, *node.as_table()));
        }
    }
    if (role == role_kind::sidecar && into.sidecars.size() != 1) {
        reader.fault(&root, "sidecars", "expected exactly one [[sidecars]] for this role");
    }
    if (role == role_kind::standalone && into.sidecars.empty()) {
        reader.fault(&root, "sidecars", "expected at least one [[sidecars]] for this role");
    }
}

void read_replica(settings_reader& reader, const toml::table& root, replica_settings& into, bool needed)
{
    const toml::table* table = reader.section(root, "replica");
    if (table == nullptr) {
        if (needed) {
            reader.fault(&root, "replica", "missing; expected a section [replica]");
        }
        return;
    }
    const std::string at = "replica.";
    reader.text(*table, at, "name", into.name, true);
    reader.text(*table, at, "link", into.link, true);
    reader.address(*table, at, "link", into.link, "tcp://");
    reader.text(*table, at, "listen_link", into.listen_link);
    reader.address(*table, at, "listen_link", into.listen_link, "tcp://");
    reader.text(*table, at, "operator_listen", into.operator_listen);
    reader.address(*table, at, "operator_listen", into.operator_listen, "");
    reader.text(*table, at, "data_folder", into.data_folder, true);
    reader.time(*table, at, "election_timeout", into.election_timeout, {100ms, 60s});
    reader.time(*table, at, "heartbeat", into.heartbeat, {10ms, 10s});
    reader.number(*table, at, "snapshot_entries", into.snapshot_entries, {10, 10000000});
    reader.texts(*table, at, "operator_keys", into.operator_keys);
    if (into.heartbeat * 3 > into.election_timeout) {
        reader.fault(table, at + "heartbeat", "expected at most a third of election_timeout");
    }
    for (const std::string& key : into.operator_keys) {
        constexpr std::size_t sha256_digits = 64;
        const std::size_t colon = key.find(':');
        if (colon == std::string::npos || colon == 0 || key.size() - colon - 1 != sha256_digits) {
            reader.fault(table->get("operator_keys"), at + "operator_keys",
                         "expected \"NAME:SHA256HEX\" of each key");
        }
    }
    reader.unknown_keys(*table, at);
}

void check_replica_is_listed(settings_reader& reader, const toml::table& root, const settings& read)
{
    for (const replica_address& address : read.replicas) {
        if (address.name == read.replica.name && address.endpoint == read.replica.link) {
            return;
        }
    }
    reader.fault(root.get("replica"), "replica.name",
                 "\"" + read.replica.name + "\" with its link is not among [[replicas]]");
}

} // namespace

settings parse_settings(const std::string& text, const std::string& path, role_kind role)
{
    toml::table root;
    try {
        root = toml::parse(text, path);
    }
    catch (const toml::parse_error& fault) {
        throw settings_error(path + ":" + std::to_string(fault.source().begin.line) + ": " +
                             std::string(fault.description()));
    }
    settings_reader reader(path);
    settings read;
    const bool alone = role == role_kind::standalone;
    reader.text(root, "", "data_centre", read.data_centre, true);
    reader.text(root, "", "log_file", read.log_file);
    reader.choice(root, "", "log_level", read.log_level, {"debug", "info", "warning", "error"});
    reader.text(root, "", "metrics_listen", read.metrics_listen);
    reader.address(root, "", "metrics_listen", read.metrics_listen, "");
    reader.time(root, "", "stop_limit", read.stop_limit, {0s, 86400s});
    reader.number(root, "", "ledger_shards", read.ledger_shards, {1, 256});
    reader.text(root, "", "configuration_file", read.configuration_file);
    read_links(reader, root, read.links);
    read_replicas(reader, root, read, role == role_kind::entry || role == role_kind::replica);
    read_entry(reader, root, read.entry, role == role_kind::entry || alone);
    read_sidecars(reader, root, read, role);
    read_replica(reader, root, read.replica, role == role_kind::replica || alone);
    if (role == role_kind::replica) {
        check_replica_is_listed(reader, root, read);
    }
    reader.unknown_keys(root, "");
    reader.finish();
    read.replica.ledger_shards = read.ledger_shards;
    return read;
}

settings read_settings(const std::string& path, role_kind role)
{
    std::ifstream file(path);
    if (!file) {
        throw settings_error(path + ": can't be opened");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str(), path, role);
}

} // namespace guavawick
