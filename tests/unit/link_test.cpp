// Tests of the links between processes: calls, timeouts and authentication by CURVE keys.
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

/// A CURVE key pair.
struct key_pair {
    std::string public_key = std::string(41, '\0');
    std::string secret_key = std::string(41, '\0');

    key_pair()
    {
        zmq_curve_keypair(public_key.data(), secret_key.data());
        public_key.pop_back();
        secret_key.pop_back();
    }
};

link_settings make_keys(const key_pair& own_keys, const key_pair& server,
                        const std::vector<std::string>& allowed)
{
    link_settings settings;
    settings.public_key = own_keys.public_key;
    settings.secret_key = own_keys.secret_key;
    settings.server_key = server.public_key;
    settings.allowed_keys = allowed;
    return settings;
}

struct replying_server {
    runtime::worker_pool pool{2};
    std::string endpoint;
    std::unique_ptr<wire::link> server;

    explicit replying_server(const link_settings& settings = {})
    {
        server = std::make_unique<wire::link>(pool.executor(), settings, incarnation_id{7});
        for (int attempts = 0; endpoint.empty(); ++attempts) {
            const std::string candidate_endpoint =
                "tcp://127.0.0.1:" + std::to_string(30000 + random_id() % 20000);
            try {
                server->listen(candidate_endpoint,
                               [this](const wire::reply_target& from, const wire::envelope_ptr& message) {
                                   handle(from, message);
                               });
                endpoint = candidate_endpoint;
            }
            catch (const link_error&) {
                BOOST_REQUIRE(attempts < 50);
            }
        }
    }

    ~replying_server()
    {
        pool.stop();
        server->close();
    }

    void handle(const wire::reply_target& from, const wire::envelope_ptr& message) const
    {
        if (message->has_tombstone()) {
            return; // requests of this kind never get a reply
        }
        wire::envelope reply;
        reply.mutable_done();
        server->reply(from, std::move(reply));
    }

    wire::envelope_ptr call(wire::link& client, bool expects_reply, duration timeout)
    {
        wire::envelope request;
        if (expects_reply) {
            request.mutable_get();
        }
        else {
            request.mutable_tombstone();
        }
        return boost::asio::co_spawn(boost::asio::make_strand(pool.executor()),
                                     client.call(endpoint, std::move(request), timeout),
                                     boost::asio::use_future)
            .get();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(link_test)

BOOST_FIXTURE_TEST_CASE(reply_carries_the_incarnation_of_its_sender, replying_server)
{
    wire::link client(pool.executor(), {}, incarnation_id{8});
    const wire::envelope_ptr reply = call(client, true, 10s);
    BOOST_TEST(reply->has_done());
    BOOST_TEST(reply->sender() == 7U);
    BOOST_TEST(client.active_within(endpoint, 10s));
}

BOOST_FIXTURE_TEST_CASE(call_without_a_reply_fails_at_its_deadline, replying_server)
{
    wire::link client(pool.executor(), {}, incarnation_id{8});
    BOOST_CHECK_THROW(call(client, false, 300ms), link_error);
}

BOOST_AUTO_TEST_CASE(only_peers_with_a_listed_key_are_accepted)
{
    const key_pair server_keys;
    const key_pair listed;
    const key_pair unlisted;
    replying_server server(make_keys(server_keys, server_keys, {listed.public_key}));
    wire::link accepted_client(server.pool.executor(), make_keys(listed, server_keys, {}), incarnation_id{8});
    BOOST_TEST(server.call(accepted_client, true, 10s)->has_done());
    wire::link rejected_client(server.pool.executor(), make_keys(unlisted, server_keys, {}),
                               incarnation_id{9});
    BOOST_CHECK_THROW(server.call(rejected_client, true, 700ms), link_error);
    wire::link unencrypted_client(server.pool.executor(), {}, incarnation_id{10});
    BOOST_CHECK_THROW(server.call(unencrypted_client, true, 700ms), link_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
