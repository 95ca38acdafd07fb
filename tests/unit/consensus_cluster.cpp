// Members of a group on paper.
#include "consensus_cluster.hpp"

#include "base/hash_func.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavawick::tests {

using namespace consensus;

namespace {

options make_options()
{
    options made;
    made.election_timeout = 300ms;
    made.heartbeat = 50ms;
    made.max_batch_entries = 8;
    made.kept_entries = 5;
    return made;
}

/// The state of the fake state machine is the list of its payloads.
std::string encode(const std::vector<std::string>& applied)
{
    std::string bytes;
    for (const std::string& one : applied) {
        bytes += one + "\n";
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

void write_disk(fake_member& member, const effects& wanted)
{
    member.disk.term = member.state.term;
    member.disk.voted_for = member.state.voted_for;
    if (wanted.install) {
        member.disk.newest_snapshot = wanted.install;
        member.disk.entries.assign(member.state.entries.begin(), member.state.entries.end());
        return;
    }
    if (wanted.truncate_after) {
        std::erase_if(member.disk.entries,
                      [&](const log_entry& entry) { return entry.index > *wanted.truncate_after; });
    }
    member.disk.entries.insert(member.disk.entries.end(), wanted.appended.begin(), wanted.appended.end());
}

} // namespace

fake_cluster::fake_cluster(std::uint64_t random_seed, std::size_t size) : random(random_seed)
{
    membership first;
    for (std::size_t i = 0; i < size; ++i) {
        first.members.push_back(
            {member_id{i + 1}, "r" + std::to_string(i + 1), "e" + std::to_string(i + 1), true, 0});
    }
    auto founding = std::make_shared<snapshot>();
    founding->index = 1;
    founding->term = 1;
    founding->members = first;
    for (const member& one : first.members) {
        fake_member made;
        made.name = one.name;
        made.id = one.id;
        made.disk.term = 1;
        made.disk.newest_snapshot = founding;
        made.state = make_state(one.id, make_options(), made.disk, {}, now, next_random(random));
        members.push_back(std::move(made));
    }
}

std::uint64_t fake_cluster::pick(std::uint64_t limit)
{
    return next_random(random) % limit;
}

bool fake_cluster::crashes()
{
    return crash_one_in != 0 && pick(crash_one_in) == 0;
}

void fake_cluster::carry_out(fake_member& member, effects& wanted, bool crash)
{
    network.insert(network.end(), wanted.early_messages.begin(), wanted.early_messages.end());
    if (crash) {
        restart(member);
        return;
    }
    write_disk(member, wanted);
    note_synced(member.state, last_index(member.state), wanted);
    network.insert(network.end(), wanted.messages.begin(), wanted.messages.end());
    if (wanted.install) {
        member.applied = decode(wanted.install->state);
    }
    for (const log_entry& entry : wanted.committed) {
        const auto [known, fresh] = committed.emplace(entry.index, entry.payload);
        BOOST_REQUIRE_MESSAGE(known->second == entry.payload,
                              "two members applied different entries at index " << entry.index);
        if (entry.kind == entry_kind::command) {
            member.applied.push_back(entry.payload);
        }
        const auto proposed = proposals.find(entry.index);
        const bool own = proposed != proposals.end() && proposed->second.term == entry.term &&
                         member.state.role == role_type::leader;
        if (own && member.state.term == entry.term) {
            acknowledged[entry.index] = entry.payload;
            highest_acknowledged = std::max(highest_acknowledged, entry.index);
        }
    }
    if (wanted.became_leader) {
        ++elections;
        const auto [known, fresh] = leaders.emplace(member.state.term, member.id);
        BOOST_REQUIRE_MESSAGE(known->second == member.id, "two leaders in term " << member.state.term);
    }
}

void fake_cluster::deliver_one(std::uint64_t loss_percent)
{
    if (network.empty()) {
        return;
    }
    const std::size_t place = pick(std::min<std::size_t>(network.size(), 12));
    const message one = network[place];
    const std::uint64_t fate = pick(100);
    if (fate >= loss_percent + 5) {
        network.erase(network.begin() + static_cast<std::ptrdiff_t>(place));
    }
    else if (fate < loss_percent) {
        network.erase(network.begin() + static_cast<std::ptrdiff_t>(place));
        return;
    } // else it stays and is delivered again later
    for (fake_member& member : members) {
        if (member.id == one.to && member.running && !member.frozen) {
            effects wanted;
            step(member.state, one, now, wanted);
            carry_out(member, wanted, crashes());
            return;
        }
    }
}

void fake_cluster::deliver_all()
{
    for (int rounds = 0; rounds < 2000 && !network.empty(); ++rounds) {
        const message one = network.front();
        network.pop_front();
        for (fake_member& member : members) {
            if (member.id == one.to && member.running && !member.frozen) {
                effects wanted;
                step(member.state, one, now, wanted);
                carry_out(member, wanted, false);
            }
        }
    }
}

void fake_cluster::tick(fake_member& member)
{
    if (!member.running || member.frozen) {
        return;
    }
    effects wanted;
    consensus::tick(member.state, now, wanted);
    continue_repair(member.state, now, wanted);
    flush(member.state, now, wanted);
    carry_out(member, wanted, false);
    if (member.state.applied > member.state.base_index + 30 && pick(4) == 0) {
        auto taken = std::make_shared<snapshot>();
        taken->index = member.state.applied;
        taken->term = term_at(member.state, member.state.applied);
        for (const indexed_membership& held : member.state.memberships) {
            if (held.index <= member.state.applied) {
                taken->members = held.value;
            }
        }
        taken->state = encode(member.applied);
        compact(member.state, taken);
        member.disk.newest_snapshot = taken;
        std::erase_if(member.disk.entries,
                      [&](const log_entry& entry) { return entry.index <= member.state.base_index; });
    }
}

void fake_cluster::propose(fake_member& member)
{
    if (!member.running || member.frozen || member.state.role != role_type::leader) {
        return;
    }
    effects wanted;
    const std::string payload = "p" + std::to_string(next_payload++);
    const log_index index = consensus::propose(member.state, entry_kind::command, payload, wanted);
    if (index != 0) {
        proposals[index] = {index, member.state.term, payload};
    }
    flush(member.state, now, wanted);
    carry_out(member, wanted, crashes());
}

void fake_cluster::restart(fake_member& member)
{
    member.state = make_state(member.id, make_options(), member.disk, {}, now, next_random(random));
    member.applied =
        member.disk.newest_snapshot ? decode(member.disk.newest_snapshot->state) : std::vector<std::string>{};
    member.running = true;
    member.frozen = false;
}

bool fake_cluster::keeps_quorum(const membership& members_then, member_id lost) const
{
    std::size_t voters = 0;
    std::size_t intact = 0;
    for (const member& voter : members_then.members) {
        if (!voter.voter) {
            continue;
        }
        ++voters;
        const bool present = std::any_of(members.begin(), members.end(),
                                         [&](const fake_member& m) { return m.id == voter.id; });
        intact += present && voter.id != lost ? 1 : 0;
    }
    return voters == 0 || intact >= voters / 2 + 1;
}

bool fake_cluster::may_lose(const fake_member& lost) const
{
    for (const fake_member& one : members) {
        const auto& held = one.state.memberships;
        for (std::size_t i = 0; i < held.size(); ++i) {
            const bool replaced = i + 1 < held.size() && held[i + 1].index <= one.state.commit;
            if (!replaced && !keeps_quorum(held[i].value, lost.id)) {
                return false;
            }
        }
    }
    for (const message& under_way : network) {
        for (const log_entry& entry : under_way.entries) {
            if (entry.kind == entry_kind::membership &&
                !keeps_quorum(decode_membership(entry.payload), lost.id)) {
                return false;
            }
        }
    }
    return true;
}

void fake_cluster::wipe(fake_member& member)
{
    ++wipes;
    member.id = member_id{next_id++};
    member.disk = {};
    restart(member);
}

void fake_cluster::join_blank_members()
{
    for (fake_member& blank : members) {
        if (!needs_join(blank.state, now)) {
            continue;
        }
        for (fake_member& leader : members) {
            if (leader.running && !leader.frozen && leader.state.role == role_type::leader) {
                effects wanted;
                add_learner(leader.state, {blank.id, blank.name, "e", false, 0}, now, wanted);
                flush(leader.state, now, wanted);
                carry_out(leader, wanted, false);
            }
        }
    }
}

fake_member* fake_cluster::find_leader()
{
    for (fake_member& one : members) {
        if (one.running && !one.frozen && may_read(one.state, now)) {
            return &one;
        }
    }
    return nullptr;
}

void fake_cluster::check_invariants()
{
    for (const fake_member& one : members) {
        // A frozen member can't answer; when it thaws it reads the clock again before it does.
        if (!one.running || one.frozen || !may_read(one.state, now)) {
            continue;
        }
        ++reads;
        BOOST_REQUIRE_MESSAGE(one.state.applied >= highest_acknowledged,
                              "a read at " << one.name << " would miss index " << highest_acknowledged
                                           << ", it has " << one.state.applied);
    }
}

void fake_cluster::pass(duration span)
{
    const time_point until = now + span;
    while (now < until) {
        now += 20ms;
        for (fake_member& one : members) {
            tick(one);
        }
        deliver_all();
        check_invariants();
    }
}

std::string fake_cluster::describe() const
{
    std::string text;
    for (const fake_member& one : members) {
        text += "\n" + one.name + "#" + std::to_string(one.id.value) + " role " +
                std::to_string(static_cast<int>(one.state.role)) + " term " + std::to_string(one.state.term) +
                " base " + std::to_string(one.state.base_index) + " last " +
                std::to_string(last_index(one.state)) + " commit " + std::to_string(one.state.commit) +
                " members";
        for (const member& other : current_members(one.state).members) {
            text +=
                " " + other.name + "#" + std::to_string(other.id.value) + (other.voter ? "" : "(learner)");
        }
    }
    return text;
}

bool fake_cluster::settle()
{
    for (int round = 0; round < 3000; ++round) {
        now += 20ms;
        for (fake_member& one : members) {
            one.frozen = false;
            tick(one);
        }
        join_blank_members();
        deliver_all();
        check_invariants();
        fake_member* leader = find_leader();
        const bool level =
            leader != nullptr && std::all_of(members.begin(), members.end(), [&](const fake_member& one) {
                return one.state.applied == leader->state.applied &&
                       find_member(current_members(leader->state), one.id) != nullptr;
            });
        if (level && current_members(leader->state).members.size() == members.size()) {
            return true;
        }
    }
    return false;
}

} // namespace guavawick::tests
