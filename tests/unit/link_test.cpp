// Links between processes: calls, deadlines, and who may connect.
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "runtime/worker_pool.hpp"
#include "wire.pb.h"
#include "wire/link_type.hpp"

#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>
#include <zmq.h>

namespace guavawick::tests {
namespace {

using namespace std::chrono_literals;

struct key_pair {
    std::string open = std::string(41, '\0');
    std::string secret = std::string(41, '\0');

    key_pair()
    {
        zmq_curve_keypair(open.data(), secret.data());
        open.pop_back();
        secret.pop_back();
    }
};

link_settings make_keys(const key_pair& own, const key_pair& server, const std::vector<std::string>& allowed)
{
    link_settings made;
    made.public_key = own.open;
    made.secret_key = own.secret;
    made.server_key = server.open;
    made.allowed_keys = allowed;
    return made;
}

struct answering_link {
    runtime::worker_pool pool{2};
    std::string endpoint;
    std::unique_ptr<wire::link> server;

    explicit answering_link(const link_settings& settings = {})
    {
        server = std::make_unique<wire::link>(pool.executor(), settings, incarnation_id{7});
        for (int tries = 0; endpoint.empty(); ++tries) {
            const std::string wanted = "tcp://127.0.0.1:" + std::to_string(30000 + random_id() % 20000);
            try {
                server->listen(wanted, [this](const wire::reply_target& from,
                                              const wire::envelope_ptr& message) { answer(from, message); });
                endpoint = wanted;
            }
            catch (const link_error&) {
                BOOST_REQUIRE(tries < 50);
            }
        }
    }

    ~answering_link()
    {
        pool.stop();
        server->close();
    }

    void answer(const wire::reply_target& from, const wire::envelope_ptr& message) const
    {
        if (message->has_tombstone()) {
            return; // a question that is never answered
        }
        wire::envelope reply;
        reply.mutable_done();
        server->reply(from, std::move(reply));
    }

    wire::envelope_ptr call(wire::link& client, bool answered, duration limit)
    {
        wire::envelope question;
        if (answered) {
            question.mutable_get();
        }
        else {
            question.mutable_tombstone();
        }
        return boost::asio::co_spawn(boost::asio::make_strand(pool.executor()),
                                     client.call(endpoint, std::move(question), limit),
                                     boost::asio::use_future)
            .get();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(link_test)

BOOST_FIXTURE_TEST_CASE(call_is_answered_and_names_the_senders_incarnation, answering_link)
{
    wire::link client(pool.executor(), {}, incarnation_id{8});
    const wire::envelope_ptr reply = call(client, true, 10s);
    BOOST_TEST(reply->has_done());
    BOOST_TEST(reply->sender() == 7U);
    BOOST_TEST(client.active_within(endpoint, 10s));
}

BOOST_FIXTURE_TEST_CASE(call_without_an_answer_ends_at_its_deadline_with_a_typed_error, answering_link)
{
    wire::link client(pool.executor(), {}, incarnation_id{8});
    BOOST_CHECK_THROW(call(client, false, 300ms), link_error);
}

BOOST_AUTO_TEST_CASE(peer_with_a_listed_key_is_let_in_and_another_is_not)
{
    const key_pair server_keys;
    const key_pair known;
    const key_pair stranger;
    answering_link there(make_keys(server_keys, server_keys, {known.open}));
    wire::link friendly(there.pool.executor(), make_keys(known, server_keys, {}), incarnation_id{8});
    BOOST_TEST(there.call(friendly, true, 10s)->has_done());
    wire::link foreign(there.pool.executor(), make_keys(stranger, server_keys, {}), incarnation_id{9});
    BOOST_CHECK_THROW(there.call(foreign, true, 700ms), link_error);
    wire::link plain(there.pool.executor(), {}, incarnation_id{10});
    BOOST_CHECK_THROW(there.call(plain, true, 700ms), link_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
