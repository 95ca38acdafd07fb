// Simulated consensus group.
#include "consensus_cluster.hpp"

#include "base/hash_func.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavawick::tests {

using namespace consensus;

namespace {

options make_options()
{
    options result;
    result.election_timeout = 300ms;
    result.heartbeat = 50ms;
    result.max_batch_entries = 8;
    result.retained_entries = 5;
    return result;
}

/// Encodes the state of the fake state machine: the list of applied payloads.
std::string encode(const std::vector<std::string>& applied)
{
    std::string bytes;
    for (const std::string& payload : applied) {
        bytes += payload + "\n";
    }
    return bytes;
}

std::vector<std::string> decode(const std::string& bytes)
{
    std::vector<std::string> applied;
    std::size_t start = 0;
    for (std::size_t end = bytes.find('\n'); end != std::string::npos; end = bytes.find('\n', start)) {
        applied.push_back(bytes.substr(start, end - start));
        start = end + 1;
    }
    return applied;
}

void write_disk(fake_member& member, const effects& pending)
{
    member.disk.term = member.state.term;
    member.disk.voted_for = member.state.voted_for;
    if (pending.install) {
        member.disk.newest_snapshot = pending.install;
        member.disk.entries.assign(member.state.entries.begin(), member.state.entries.end());
        return;
    }
    if (pending.truncate_after) {
        std::erase_if(member.disk.entries,
                      [&](const log_entry& entry) { return entry.index > *pending.truncate_after; });
    }
    member.disk.entries.insert(member.disk.entries.end(), pending.appended.begin(), pending.appended.end());
}

} // namespace

fake_cluster::fake_cluster(std::uint64_t random_seed, std::size_t member_count)
    : settings(make_options()), random(random_seed)
{
    membership initial_members;
    for (std::size_t i = 0; i < member_count; ++i) {
        initial_members.members.push_back(
            {member_id{i + 1}, "r" + std::to_string(i + 1), "e" + std::to_string(i + 1), true, 0});
    }
    auto initial_snapshot = std::make_shared<snapshot>();
    initial_snapshot->index = 1;
    initial_snapshot->term = 1;
    initial_snapshot->members = initial_members;
    for (const member& initial_member : initial_members.members) {
        fake_member replica;
        replica.name = initial_member.name;
        replica.id = initial_member.id;
        replica.disk.term = 1;
        replica.disk.newest_snapshot = initial_snapshot;
        replica.state =
            restore_state(initial_member.id, settings, replica.disk, {}, now, next_random(random));
        members.push_back(std::move(replica));
    }
}

std::uint64_t fake_cluster::random_below(std::uint64_t limit)
{
    return next_random(random) % limit;
}

bool fake_cluster::draw_crash()
{
    return steps_per_crash != 0 && random_below(steps_per_crash) == 0;
}

void fake_cluster::carry_out(fake_member& member, effects& pending, bool crash)
{
    network.insert(network.end(), pending.immediate_messages.begin(), pending.immediate_messages.end());
    if (crash) {
        restart(member);
        return;
    }
    write_disk(member, pending);
    record_synced(member.state, last_index(member.state), pending);
    network.insert(network.end(), pending.messages.begin(), pending.messages.end());
    if (pending.install) {
        member.applied = decode(pending.install->state);
    }
    for (const log_entry& entry : pending.committed) {
        const auto [existing, inserted] = committed.emplace(entry.index, entry.payload);
        BOOST_REQUIRE_MESSAGE(existing->second == entry.payload,
                              "two members applied different entries at index " << entry.index);
        if (entry.kind == entry_kind::command) {
            member.applied.push_back(entry.payload);
        }
        const auto proposal = proposals.find(entry.index);
        const bool is_own_proposal = proposal != proposals.end() && proposal->second.term == entry.term &&
                                     member.state.role == role_type::leader;
        if (is_own_proposal && member.state.term == entry.term) {
            acknowledged[entry.index] = entry.payload;
            highest_acknowledged = std::max(highest_acknowledged, entry.index);
        }
    }
    if (pending.became_leader) {
        ++elections;
        const auto [existing, inserted] = leaders.emplace(member.state.term, member.id);
        BOOST_REQUIRE_MESSAGE(existing->second == member.id, "two leaders in term " << member.state.term);
    }
}

void fake_cluster::deliver_one(std::uint64_t loss_percent)
{
    if (network.empty()) {
        return;
    }
    const std::size_t position = random_below(std::min<std::size_t>(network.size(), 12));
    const message delivered = network[position];
    const std::uint64_t outcome = random_below(100);
    if (outcome >= loss_percent + 5) {
        network.erase(network.begin() + static_cast<std::ptrdiff_t>(position));
    }
    else if (outcome < loss_percent) {
        network.erase(network.begin() + static_cast<std::ptrdiff_t>(position));
        return;
    } // otherwise it stays queued and is delivered again later
    for (fake_member& member : members) {
        if (member.id == delivered.to && member.running && !member.paused) {
            effects pending;
            step(member.state, delivered, now, pending);
            carry_out(member, pending, draw_crash());
            return;
        }
    }
}

void fake_cluster::deliver_all()
{
    for (int rounds = 0; rounds < 2000 && !network.empty(); ++rounds) {
        const message delivered = network.front();
        network.pop_front();
        for (fake_member& member : members) {
            if (member.id == delivered.to && member.running && !member.paused) {
                effects pending;
                step(member.state, delivered, now, pending);
                carry_out(member, pending, false);
            }
        }
    }
}

void fake_cluster::tick(fake_member& member)
{
    if (!member.running || member.paused) {
        return;
    }
    effects pending;
    consensus::tick(member.state, now, pending);
    if (!is_managed) {
        continue_repair(member.state, now, pending);
    }
    replicate(member.state, now, pending);
    carry_out(member, pending, false);
    if (member.state.applied > member.state.base_index + 30 && random_below(4) == 0) {
        auto created = std::make_shared<snapshot>();
        created->index = member.state.applied;
        created->term = term_at(member.state, member.state.applied);
        for (const indexed_membership& indexed : member.state.memberships) {
            if (indexed.index <= member.state.applied) {
                created->members = indexed.value;
            }
        }
        created->state = encode(member.applied);
        compact(member.state, created);
        member.disk.newest_snapshot = created;
        std::erase_if(member.disk.entries,
                      [&](const log_entry& entry) { return entry.index <= member.state.base_index; });
    }
}

void fake_cluster::propose(fake_member& member)
{
    if (!member.running || member.paused || member.state.role != role_type::leader) {
        return;
    }
    effects pending;
    const std::string payload = "p" + std::to_string(next_payload++);
    const log_index index = consensus::propose(member.state, entry_kind::command, payload, pending);
    if (index != 0) {
        proposals[index] = {index, member.state.term, payload};
    }
    replicate(member.state, now, pending);
    carry_out(member, pending, draw_crash());
}

void fake_cluster::restart(fake_member& member)
{
    member.state = restore_state(member.id, settings, member.disk, {}, now, next_random(random));
    member.applied =
        member.disk.newest_snapshot ? decode(member.disk.newest_snapshot->state) : std::vector<std::string>{};
    member.running = true;
    member.paused = false;
}

bool fake_cluster::has_quorum_without(const membership& checked, member_id excluded) const
{
    std::size_t voters = 0;
    std::size_t intact = 0;
    for (const member& voter : checked.members) {
        if (!voter.voter) {
            continue;
        }
        ++voters;
        const bool exists = std::any_of(members.begin(), members.end(),
                                        [&](const fake_member& m) { return m.id == voter.id; });
        intact += exists && voter.id != excluded ? 1 : 0;
    }
    return voters == 0 || intact >= voters / 2 + 1;
}

bool fake_cluster::can_lose_disk(const fake_member& lost) const
{
    for (const fake_member& member : members) {
        const auto& memberships = member.state.memberships;
        for (std::size_t i = 0; i < memberships.size(); ++i) {
            const bool replaced =
                i + 1 < memberships.size() && memberships[i + 1].index <= member.state.commit;
            if (!replaced && !has_quorum_without(memberships[i].value, lost.id)) {
                return false;
            }
        }
    }
    for (const message& in_flight : network) {
        for (const log_entry& entry : in_flight.entries) {
            if (entry.kind == entry_kind::membership &&
                !has_quorum_without(decode_membership(entry.payload), lost.id)) {
                return false;
            }
        }
    }
    return true;
}

void fake_cluster::lose_disk(fake_member& member)
{
    ++lost_disks;
    member.id = member_id{next_id++};
    member.disk = {};
    restart(member);
}

void fake_cluster::add_missing_members()
{
    for (fake_member& blank : members) {
        if (!needs_join(blank.state, now)) {
            continue;
        }
        for (fake_member& leader : members) {
            if (leader.running && !leader.paused && leader.state.role == role_type::leader) {
                effects pending;
                add_learner(leader.state, {blank.id, blank.name, "e", false, 0}, now, pending);
                replicate(leader.state, now, pending);
                carry_out(leader, pending, false);
            }
        }
    }
}

fake_member* fake_cluster::find_lease_holder()
{
    for (fake_member& member : members) {
        if (member.running && !member.paused && has_read_lease(member.state, now)) {
            return &member;
        }
    }
    return nullptr;
}

void fake_cluster::check_invariants()
{
    for (const fake_member& member : members) {
        // A paused member serves no reads. Once resumed it reads the clock again before it serves one.
        if (!member.running || member.paused || !has_read_lease(member.state, now)) {
            continue;
        }
        ++reads;
        BOOST_REQUIRE_MESSAGE(member.state.applied >= highest_acknowledged,
                              "a read at " << member.name << " would miss index " << highest_acknowledged
                                           << ", it has " << member.state.applied);
    }
}

void fake_cluster::advance(duration span)
{
    const time_point until = now + span;
    while (now < until) {
        now += 20ms;
        for (fake_member& member : members) {
            tick(member);
        }
        deliver_all();
        check_invariants();
    }
}

std::string fake_cluster::describe() const
{
    std::string text;
    for (const fake_member& replica : members) {
        text += "\n" + replica.name + "#" + std::to_string(replica.id.value) + " role " +
                std::to_string(static_cast<int>(replica.state.role)) + " term " +
                std::to_string(replica.state.term) + " base " + std::to_string(replica.state.base_index) +
                " last " + std::to_string(last_index(replica.state)) + " commit " +
                std::to_string(replica.state.commit) + " members";
        for (const member& other : current_members(replica.state).members) {
            text +=
                " " + other.name + "#" + std::to_string(other.id.value) + (other.voter ? "" : "(learner)");
        }
    }
    return text;
}

bool fake_cluster::run_until_stable()
{
    for (int round = 0; round < 3000; ++round) {
        now += 20ms;
        for (fake_member& member : members) {
            member.paused = false;
            tick(member);
        }
        add_missing_members();
        deliver_all();
        check_invariants();
        fake_member* leader = find_lease_holder();
        const bool all_caught_up =
            leader != nullptr && std::all_of(members.begin(), members.end(), [&](const fake_member& member) {
                return member.state.applied == leader->state.applied &&
                       find_member(current_members(leader->state), member.id) != nullptr;
            });
        if (all_caught_up && current_members(leader->state).members.size() == members.size()) {
            return true;
        }
    }
    return false;
}

} // namespace guavawick::tests
