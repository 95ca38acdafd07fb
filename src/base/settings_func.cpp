// Reads settings from TOML and checks them.
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
    std::int64_t min;
    std::int64_t max;
};

struct duration_range {
    duration min;
    duration max;
};

/// Reads values of one file. Collects the faults and the keys that were read, so that all faults are reported
/// at once and unknown keys are found.
class settings_reader {
public:
    explicit settings_reader(std::string path) : path_(std::move(path)) {}

    void add_fault(const toml::node* node, const std::string& key, const std::string& expected)
    {
        const std::uint32_t line = node != nullptr ? node->source().begin.line : 0;
        faults_ +=
            path_ + (line != 0 ? ":" + std::to_string(line) : "") + ": " + key + ": " + expected + "\n";
    }

    void read_string(const toml::table& table, const std::string& prefix, const char* name, std::string& into,
                     bool required = false)
    {
        const toml::node* node = find_key(table, prefix, name);
        if (node == nullptr) {
            report_missing(table, prefix, name, required);
            return;
        }
        if (!node->is_string() || (required && node->ref<std::string>().empty())) {
            add_fault(node, prefix + name,
                      "expected a string" + std::string(required ? " that is not empty" : ""));
            return;
        }
        into = node->ref<std::string>();
    }

    void read_choice(const toml::table& table, const std::string& prefix, const char* name, std::string& into,
                     const std::set<std::string>& allowed)
    {
        read_string(table, prefix, name, into);
        if (allowed.count(into) != 0) {
            return;
        }
        std::string list;
        for (const std::string& choice : allowed) {
            list += (list.empty() ? "" : ", ") + choice;
        }
        add_fault(table.get(name), prefix + name, "expected one of " + list);
    }

    void read_number(const toml::table& table, const std::string& prefix, const char* name,
                     std::uint64_t& into, number_range range)
    {
        const toml::node* node = find_key(table, prefix, name);
        if (node == nullptr) {
            return;
        }
        const auto value = node->is_integer() ? node->value<std::int64_t>() : std::nullopt;
        if (!value || *value < range.min || *value > range.max) {
            add_fault(node, prefix + name,
                      "expected a whole number from " + std::to_string(range.min) + " to " +
                          std::to_string(range.max));
            return;
        }
        into = static_cast<std::uint64_t>(*value);
    }

    void read_duration(const toml::table& table, const std::string& prefix, const char* name, duration& into,
                       duration_range range)
    {
        const toml::node* node = find_key(table, prefix, name);
        if (node == nullptr) {
            return;
        }
        const std::optional<duration> value =
            node->is_string() ? parse_duration(node->ref<std::string>()) : std::nullopt;
        if (!value || *value < range.min || *value > range.max) {
            add_fault(node, prefix + name,
                      "expected a duration with a unit, such as \"250ms\", \"4s\" or \"2m\", from " +
                          std::to_string(to_ms(range.min)) + "ms to " + std::to_string(to_ms(range.max)) +
                          "ms");
            return;
        }
        into = *value;
    }

    void read_strings(const toml::table& table, const std::string& prefix, const char* name,
                      std::vector<std::string>& into)
    {
        const toml::node* node = find_key(table, prefix, name);
        if (node == nullptr) {
            return;
        }
        if (!node->is_array()) {
            add_fault(node, prefix + name, "expected a list of strings");
            return;
        }
        for (const toml::node& item : *node->as_array()) {
            if (!item.is_string()) {
                add_fault(&item, prefix + name, "expected a list of strings");
                return;
            }
            into.push_back(item.ref<std::string>());
        }
    }

    const toml::table* find_section(const toml::table& table, const char* name)
    {
        const toml::node* node = find_key(table, "", name);
        if (node == nullptr) {
            return nullptr;
        }
        if (!node->is_table()) {
            add_fault(node, name, "expected a section [" + std::string(name) + "]");
            return nullptr;
        }
        return node->as_table();
    }

    const toml::array* find_sections(const toml::table& table, const std::string& prefix, const char* name)
    {
        const toml::node* node = find_key(table, prefix, name);
        if (node == nullptr) {
            return nullptr;
        }
        if (!node->is_array_of_tables()) {
            add_fault(node, prefix + name, "expected sections [[" + std::string(name) + "]]");
            return nullptr;
        }
        return node->as_array();
    }

    void report_unknown_keys(const toml::table& table, const std::string& prefix)
    {
        for (const auto& [key, node] : table) {
            const std::string full_name = prefix + std::string(key.str());
            if (known_keys_.count(full_name) == 0) {
                add_fault(&node, full_name, "unknown key");
            }
        }
    }

    void check_address(const toml::table& table, const std::string& prefix, const char* name,
                       const std::string& value, const std::string& scheme)
    {
        if (value.empty() || is_address(value, scheme)) {
            return;
        }
        add_fault(table.get(name), prefix + name, "expected " + scheme + "IP:PORT");
    }

    void throw_if_faulty() const
    {
        if (!faults_.empty()) {
            throw settings_error(faults_.substr(0, faults_.size() - 1));
        }
    }

private:
    const toml::node* find_key(const toml::table& table, const std::string& prefix, const char* name)
    {
        known_keys_.insert(prefix + name);
        return table.get(name);
    }

    void report_missing(const toml::table& table, const std::string& prefix, const char* name, bool required)
    {
        if (required) {
            add_fault(&table, prefix + name, "missing; expected a string that is not empty");
        }
    }

    static std::optional<duration> parse_duration(const std::string& text)
    {
        std::size_t length = 0;
        double amount = 0;
        try {
            amount = std::stod(text, &length);
        }
        catch (const std::exception&) {
            return std::nullopt;
        }
        const std::string unit = text.substr(length);
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
    std::set<std::string> known_keys_;
};

void read_links(settings_reader& reader, const toml::table& root, link_settings& links)
{
    const toml::table* table = reader.find_section(root, "links");
    if (table == nullptr) {
        return;
    }
    reader.read_string(*table, "links.", "public_key", links.public_key);
    reader.read_string(*table, "links.", "secret_key", links.secret_key);
    reader.read_string(*table, "links.", "server_key", links.server_key);
    reader.read_strings(*table, "links.", "allowed_keys", links.allowed_keys);
    reader.read_duration(*table, "links.", "silence_limit", links.silence_limit, {200ms, 60s});
    constexpr std::size_t curve_key_size = 40;
    const bool has_keys = !links.public_key.empty() || !links.secret_key.empty() || !links.server_key.empty();
    for (const std::string* key : {&links.public_key, &links.secret_key, &links.server_key}) {
        if (has_keys && key->size() != curve_key_size) {
            reader.add_fault(table, "links",
                             "expected public_key, secret_key and server_key of 40 characters each");
            break;
        }
    }
    reader.report_unknown_keys(*table, "links.");
}

void read_replicas(settings_reader& reader, const toml::table& root, settings& into, bool required)
{
    const toml::array* list = reader.find_sections(root, "", "replicas");
    if (list == nullptr) {
        if (required) {
            reader.add_fault(&root, "replicas",
                             "missing; expected at least one [[replicas]] with name and endpoint");
        }
        return;
    }
    std::set<std::string> names;
    for (const toml::node& node : *list) {
        const toml::table& table = *node.as_table();
        replica_address address;
        reader.read_string(table, "replicas.", "name", address.name, true);
        reader.read_string(table, "replicas.", "endpoint", address.endpoint, true);
        reader.check_address(table, "replicas.", "endpoint", address.endpoint, "tcp://");
        reader.report_unknown_keys(table, "replicas.");
        if (!names.insert(address.name).second) {
            reader.add_fault(&node, "replicas.name", "the name \"" + address.name + "\" is not unique");
        }
        into.replicas.push_back(std::move(address));
    }
}

void read_entry(settings_reader& reader, const toml::table& root, entry_settings& into, bool required)
{
    const toml::table* table = reader.find_section(root, "entry");
    if (table == nullptr) {
        if (required) {
            reader.add_fault(&root, "entry", "missing; expected a section [entry]");
        }
        return;
    }
    const std::string prefix = "entry.";
    reader.read_string(*table, prefix, "listen", into.listen);
    reader.check_address(*table, prefix, "listen", into.listen, "");
    reader.read_string(*table, prefix, "link", into.link);
    reader.check_address(*table, prefix, "link", into.link, "tcp://");
    reader.read_number(*table, prefix, "workers", into.workers, {1, 64});
    reader.read_duration(*table, prefix, "configuration_lease", into.configuration_lease, {500ms, 60s});
    reader.read_duration(*table, prefix, "queue_limit", into.queue_limit, {100ms, 600s});
    reader.read_duration(*table, prefix, "call_limit", into.call_limit, {1s, 7200s});
    reader.read_number(*table, prefix, "max_body_bytes", into.max_body_bytes, {1024, 256 << 20});
    reader.read_number(*table, prefix, "max_connections", into.max_connections, {1, 100000});
    reader.read_duration(*table, prefix, "idle_limit", into.idle_limit, {1s, 3600s});
    reader.read_number(*table, prefix, "subset_size", into.subset_size, {1, 10000});
    reader.read_choice(*table, prefix, "routing", into.routing,
                       {"expected_time", "round_robin", "no_affinity"});
    reader.report_unknown_keys(*table, prefix);
}

sidecar_settings read_sidecar(settings_reader& reader, const toml::table& table)
{
    sidecar_settings into;
    const std::string prefix = "sidecars.";
    reader.read_string(table, prefix, "name", into.name, true);
    reader.read_string(table, prefix, "link", into.link, true);
    reader.check_address(table, prefix, "link", into.link, "tcp://");
    reader.read_string(table, prefix, "listen_link", into.listen_link);
    reader.check_address(table, prefix, "listen_link", into.listen_link, "tcp://");
    reader.read_strings(table, prefix, "entries", into.entries);
    reader.read_choice(table, prefix, "kind", into.kind, {"model", "service"});
    reader.read_string(table, prefix, "serves", into.serves, true);
    reader.read_string(table, prefix, "upstream", into.upstream, true);
    reader.check_address(table, prefix, "upstream", into.upstream, "http://");
    reader.read_number(table, prefix, "max_window", into.max_window, {1, 4096});
    reader.read_duration(table, prefix, "latency_goal", into.latency_goal, {1ms, 600s});
    reader.read_choice(table, prefix, "queue", into.queue, {"fair", "fifo"});
    reader.read_number(table, prefix, "workers", into.workers, {1, 64});
    reader.report_unknown_keys(table, prefix);
    return into;
}

void read_sidecars(settings_reader& reader, const toml::table& root, settings& into, role_kind role)
{
    const toml::array* list = reader.find_sections(root, "", "sidecars");
    if (list != nullptr) {
        for (const toml::node& node : *list) {
            into.sidecars.push_back(read_sidecar(reader, *node.as_table()));
        }
    }
    if (role == role_kind::sidecar && into.sidecars.size() != 1) {
        reader.add_fault(&root, "sidecars", "expected exactly one [[sidecars]] for this role");
    }
    if (role == role_kind::standalone && into.sidecars.empty()) {
        reader.add_fault(&root, "sidecars", "expected at least one [[sidecars]] for this role");
    }
}

void read_replica(settings_reader& reader, const toml::table& root, replica_settings& into, bool required)
{
    const toml::table* table = reader.find_section(root, "replica");
    if (table == nullptr) {
        if (required) {
            reader.add_fault(&root, "replica", "missing; expected a section [replica]");
        }
        return;
    }
    const std::string prefix = "replica.";
    reader.read_string(*table, prefix, "name", into.name, true);
    reader.read_string(*table, prefix, "link", into.link, true);
    reader.check_address(*table, prefix, "link", into.link, "tcp://");
    reader.read_string(*table, prefix, "listen_link", into.listen_link);
    reader.check_address(*table, prefix, "listen_link", into.listen_link, "tcp://");
    reader.read_string(*table, prefix, "operator_listen", into.operator_listen);
    reader.check_address(*table, prefix, "operator_listen", into.operator_listen, "");
    reader.read_string(*table, prefix, "data_folder", into.data_folder, true);
    reader.read_duration(*table, prefix, "election_timeout", into.election_timeout, {100ms, 60s});
    reader.read_duration(*table, prefix, "heartbeat", into.heartbeat, {10ms, 10s});
    reader.read_number(*table, prefix, "snapshot_entries", into.snapshot_entries, {10, 10000000});
    reader.read_number(*table, prefix, "snapshot_log_bytes", into.snapshot_log_bytes, {65536, 1U << 30U});
    reader.read_strings(*table, prefix, "operator_keys", into.operator_keys);
    if (into.heartbeat * 3 > into.election_timeout) {
        reader.add_fault(table, prefix + "heartbeat", "expected at most a third of election_timeout");
    }
    for (const std::string& key : into.operator_keys) {
        constexpr std::size_t sha256_digits = 64;
        const std::size_t colon = key.find(':');
        if (colon == std::string::npos || colon == 0 || key.size() - colon - 1 != sha256_digits) {
            reader.add_fault(table->get("operator_keys"), prefix + "operator_keys",
                             "expected \"NAME:SHA256HEX\" for each key");
        }
    }
    reader.report_unknown_keys(*table, prefix);
}

void check_replica_is_listed(settings_reader& reader, const toml::table& root, const settings& parsed)
{
    for (const replica_address& address : parsed.replicas) {
        if (address.name == parsed.replica.name && address.endpoint == parsed.replica.link) {
            return;
        }
    }
    reader.add_fault(root.get("replica"), "replica.name",
                     "\"" + parsed.replica.name + "\" with this link is not among [[replicas]]");
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
    settings parsed;
    const bool standalone = role == role_kind::standalone;
    reader.read_string(root, "", "data_centre", parsed.data_centre, true);
    reader.read_string(root, "", "log_file", parsed.log_file);
    reader.read_choice(root, "", "log_level", parsed.log_level, {"debug", "info", "warning", "error"});
    reader.read_string(root, "", "metrics_listen", parsed.metrics_listen);
    reader.check_address(root, "", "metrics_listen", parsed.metrics_listen, "");
    reader.read_duration(root, "", "stop_limit", parsed.stop_limit, {0s, 86400s});
    reader.read_number(root, "", "ledger_shards", parsed.ledger_shards, {1, 256});
    reader.read_string(root, "", "configuration_file", parsed.configuration_file);
    read_links(reader, root, parsed.links);
    read_replicas(reader, root, parsed, role == role_kind::entry || role == role_kind::replica);
    read_entry(reader, root, parsed.entry, role == role_kind::entry || standalone);
    read_sidecars(reader, root, parsed, role);
    read_replica(reader, root, parsed.replica, role == role_kind::replica || standalone);
    if (role == role_kind::replica) {
        check_replica_is_listed(reader, root, parsed);
    }
    reader.report_unknown_keys(root, "");
    reader.throw_if_faulty();
    parsed.replica.ledger_shards = parsed.ledger_shards;
    return parsed;
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
