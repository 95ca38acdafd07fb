// Implements the links between processes: one thread owns all ZeroMQ sockets of a process.
#include "wire/link_type.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "wire.pb.h"
#include "wire/ping_policy.hpp"

#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>

namespace guavawick::wire {

namespace asio = boost::asio;
using reply_channel = asio::experimental::concurrent_channel<void(boost::system::error_code, envelope_ptr)>;

namespace {

/// Replies buffered for one stream; further ones are dropped.
constexpr std::size_t reply_capacity = 1U << 16U;
constexpr duration poll_interval = 50ms;       ///< also how often deadlines and pings are checked
constexpr duration idle_poll_interval = 250ms; ///< the same while no call waits for its reply
constexpr duration initial_resend_delay = 2s;
constexpr duration max_resend_delay = 16s;
/// A connection is closed if no request was sent on it for this long.
constexpr duration idle_connection_timeout = 120s;
constexpr int linger_ms = 300; ///< how long a closed socket still sends its queued messages
/// Bounds a connection attempt: a host that is powered off does not refuse, and may be up again at once.
constexpr int connect_timeout_ms = 500;
constexpr int max_queued_messages = 200000; ///< per connection and direction

} // namespace

/// A request whose replies have not all arrived.
struct pending_call {
    pending_call(const asio::any_io_executor& pool) : replies(pool, reply_capacity) {}

    std::uint64_t id = 0;
    std::string endpoint;
    std::string bytes; ///< the serialised request, kept for resending
    time_point deadline{};
    time_point resend_at{};
    duration resend_delay = initial_resend_delay;
    bool resends = true;
    duration tick_interval{}; ///< zero: no ticks
    time_point next_tick{};
    reply_channel replies;
};

namespace {

/// One outgoing connection. Thread safety: only the link's thread uses it.
struct peer_connection {
    zmq::socket_t socket;
    time_point last_received_at{};
    time_point last_ping_at{};
    time_point last_used_at{};
    time_point last_call_at{};     ///< when a call was last sent; unset if the connection carried none
    std::uint64_t incarnation = 0; ///< incarnation of the peer; 0 until its first reply
};

/// When a peer was last heard, for other threads.
struct peer_activity {
    time_point received_at{}; ///< when a message last arrived, or its connection was first opened
    duration margin{};        ///< by how much longer than a peer that is called often it may be silent
};

/// A message to send, queued by any thread for the link's thread.
struct link_command {
    std::string endpoint; ///< destination of a request; empty for a reply
    std::string identity; ///< ZeroMQ routing id of the peer that gets a reply; empty for a request
    std::string bytes;
    std::shared_ptr<pending_call> call; ///< the call that a request starts; its `bytes` are sent instead
};

} // namespace

/// State shared by the link and its streams. Lock order: `mutex` is a leaf, no other lock is taken under it.
struct link_core {
    link_core(asio::any_io_executor executor, const link_settings& config, incarnation_id incarnation)
        : pool(std::move(executor)), settings(config), own_incarnation(incarnation),
          wake_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }

    ~link_core() { close(wake_fd); }

    asio::any_io_executor pool;
    link_settings settings;
    incarnation_id own_incarnation;
    int wake_fd;
    zmq::context_t context{1};
    mutable std::mutex mutex; ///< guards the five members that follow
    std::deque<link_command> commands;
    std::unordered_map<std::uint64_t, std::shared_ptr<pending_call>> calls;
    std::unordered_map<std::string, peer_activity> activities; ///< by endpoint
    std::optional<zmq::socket_t> new_router;
    bool stopping = false;
    receive_handler handler; ///< set before the router socket exists
    std::atomic<std::uint64_t> next_call_id{1};
    std::atomic<std::uint64_t> reconnect_count{0};
    std::atomic<std::uint64_t> undecodable_count{0};
    std::thread thread;

    // The members below are used by the link's thread only.
    std::unordered_map<std::string, peer_connection> peers;
    std::optional<zmq::socket_t> router;

    void enqueue(link_command command)
    {
        {
            const std::lock_guard lock(mutex);
            commands.push_back(std::move(command));
        }
        wake();
    }

    void wake() const
    {
        const std::uint64_t increment = 1;
        [[maybe_unused]] const ssize_t written_bytes = write(wake_fd, &increment, sizeof increment);
    }

    void erase_call(std::uint64_t id)
    {
        const std::lock_guard lock(mutex);
        calls.erase(id);
    }

    void set_client_keys(zmq::socket_t& socket) const
    {
        if (settings.server_key.empty()) {
            return;
        }
        socket.set(zmq::sockopt::curve_serverkey, settings.server_key);
        socket.set(zmq::sockopt::curve_publickey, settings.public_key);
        socket.set(zmq::sockopt::curve_secretkey, settings.secret_key);
    }

    peer_connection make_connection(const std::string& endpoint, time_point now)
    {
        peer_connection connection;
        connection.socket = zmq::socket_t(context, zmq::socket_type::dealer);
        connection.socket.set(zmq::sockopt::linger, linger_ms);
        connection.socket.set(zmq::sockopt::sndhwm, max_queued_messages);
        connection.socket.set(zmq::sockopt::rcvhwm, max_queued_messages);
        connection.socket.set(zmq::sockopt::reconnect_ivl, 50);
        connection.socket.set(zmq::sockopt::reconnect_ivl_max, 500);
        connection.socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
        set_client_keys(connection.socket);
        connection.socket.connect(endpoint);
        connection.last_received_at = now;
        connection.last_used_at = now;
        return connection;
    }

    peer_connection* find_or_connect(const std::string& endpoint, time_point now)
    {
        const auto found = peers.find(endpoint);
        if (found != peers.end()) {
            return &found->second;
        }
        try {
            peer_connection& opened = peers.emplace(endpoint, make_connection(endpoint, now)).first->second;
            record_received(endpoint, opened, now); // a peer is active from the start of its connection
            return &opened;
        }
        catch (const zmq::error_t&) {
            return nullptr; // the endpoint is not a valid address; the call fails at its deadline
        }
    }

    void send_to(const std::string& endpoint, const std::string& bytes, time_point now)
    {
        peer_connection* peer = find_or_connect(endpoint, now);
        if (peer == nullptr) {
            return;
        }
        peer->last_used_at = now;
        peer->socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    }

    void execute(link_command& command, time_point now)
    {
        if (!command.identity.empty()) {
            if (router) {
                const auto sent = router->send(zmq::buffer(command.identity),
                                               zmq::send_flags::sndmore | zmq::send_flags::dontwait);
                if (sent) {
                    router->send(zmq::buffer(command.bytes), zmq::send_flags::dontwait);
                }
            }
            return;
        }
        if (command.call) {
            if (command.call->resends) {
                command.call->resend_at = now + command.call->resend_delay;
            }
            send_to(command.endpoint, command.call->bytes, now);
            record_call(command.endpoint, now);
            return;
        }
        send_to(command.endpoint, command.bytes, now);
    }

    void execute_commands(time_point now)
    {
        std::uint64_t signal_count = 0;
        [[maybe_unused]] const ssize_t read_bytes = read(wake_fd, &signal_count, sizeof signal_count);
        std::deque<link_command> pending;
        {
            const std::lock_guard lock(mutex);
            pending.swap(commands);
            if (new_router) {
                router = std::move(new_router);
                new_router.reset();
            }
        }
        for (link_command& command : pending) {
            execute(command, now);
        }
    }

    void record_received(const std::string& endpoint, const peer_connection& peer, time_point now)
    {
        const std::lock_guard lock(mutex);
        activities[endpoint] = {now, silence_margin(now - peer.last_call_at)};
    }

    /// The first call after a rest starts the peer's time to be heard, as its pings were rare until now.
    void record_call(const std::string& endpoint, time_point now)
    {
        const auto found = peers.find(endpoint);
        if (found == peers.end()) {
            return;
        }
        peer_connection& peer = found->second;
        const bool rested = now - peer.last_call_at >= call_memory;
        peer.last_call_at = now;
        if (rested) {
            peer.last_received_at = now;
            record_received(endpoint, peer, now);
        }
    }

    void erase_activity(const std::string& endpoint)
    {
        const std::lock_guard lock(mutex);
        activities.erase(endpoint);
    }

    void deliver(const envelope_ptr& message)
    {
        std::shared_ptr<pending_call> call;
        {
            const std::lock_guard lock(mutex);
            const auto found = calls.find(message->call());
            if (found == calls.end()) {
                return;
            }
            call = found->second;
        }
        call->replies.try_send(boost::system::error_code{}, message);
    }

    void resend_calls(const std::string& endpoint, time_point now)
    {
        std::vector<std::shared_ptr<pending_call>> waiting;
        {
            const std::lock_guard lock(mutex);
            for (const auto& [id, call] : calls) {
                if (call->endpoint == endpoint && call->resends) {
                    waiting.push_back(call);
                }
            }
        }
        for (const auto& call : waiting) {
            send_to(endpoint, call->bytes, now);
        }
    }

    /// @param endpoint of the peer; empty if it opened the connection.
    void report_undecodable(const std::string& endpoint, std::size_t bytes)
    {
        undecodable_count.fetch_add(1);
        log_event(event::link_refused_peer,
                  {{"endpoint", endpoint}, {"reason", "undecodable"}, {"bytes", std::uint64_t{bytes}}});
    }

    void receive_replies(const std::string& endpoint, peer_connection& peer, time_point now)
    {
        zmq::message_t frame;
        while (peer.socket.recv(frame, zmq::recv_flags::dontwait)) {
            auto message = std::make_shared<envelope>();
            if (!message->ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
                report_undecodable(endpoint, frame.size());
                continue;
            }
            peer.last_received_at = now;
            record_received(endpoint, peer, now);
            const bool restarted = peer.incarnation != 0 && peer.incarnation != message->sender();
            peer.incarnation = message->sender();
            if (restarted) {
                resend_calls(endpoint, now);
            }
            if (!message->has_heartbeat_reply()) {
                deliver(message);
            }
        }
    }

    void receive_requests()
    {
        zmq::message_t identity;
        zmq::message_t frame;
        while (router && router->recv(identity, zmq::recv_flags::dontwait)) {
            if (!router->recv(frame, zmq::recv_flags::none)) {
                return;
            }
            const bool has_more_frames = frame.more();
            // Discards the rest of a message that has too many frames.
            while (has_more_frames && router->recv(identity, zmq::recv_flags::none) && identity.more()) {
            }
            auto message = std::make_shared<envelope>();
            if (has_more_frames || !message->ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
                report_undecodable("", frame.size());
                continue;
            }
            dispatch({identity.to_string(), message->call()}, message);
        }
    }

    void dispatch(const reply_target& from, const envelope_ptr& message)
    {
        if (message->has_heartbeat()) {
            envelope reply;
            reply.set_sender(own_incarnation.value);
            reply.mutable_heartbeat_reply();
            link_command command;
            command.identity = from.identity;
            command.bytes = reply.SerializeAsString();
            execute(command, runtime_clock::now());
            return;
        }
        asio::post(pool, [handle = handler, from, message] { handle(from, message); });
    }

    void ping_peers(time_point now)
    {
        envelope ping;
        ping.set_sender(own_incarnation.value);
        ping.mutable_heartbeat();
        const std::string bytes = ping.SerializeAsString();
        std::vector<std::string> silent;
        for (auto entry = peers.begin(); entry != peers.end();) {
            peer_connection& peer = entry->second;
            if (now - peer.last_used_at > idle_connection_timeout) {
                erase_activity(entry->first);
                entry = peers.erase(entry);
                continue;
            }
            const duration since_call = now - peer.last_call_at;
            if (now - peer.last_received_at > settings.silence_limit + silence_margin(since_call)) {
                silent.push_back(entry->first);
            }
            else if (now - peer.last_ping_at >= ping_interval(since_call)) {
                peer.last_ping_at = now;
                peer.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
            }
            ++entry;
        }
        for (const std::string& endpoint : silent) {
            reconnect(endpoint, now);
        }
    }

    void reconnect(const std::string& endpoint, time_point now)
    {
        peer_connection& old = peers.at(endpoint);
        const time_point last_used_at = old.last_used_at;
        const time_point last_call_at = old.last_call_at;
        if (old.incarnation != 0) {
            log_event(event::link_silent, {{"endpoint", endpoint}});
        }
        old.socket.set(zmq::sockopt::linger, 0);
        peers.erase(endpoint);
        reconnect_count.fetch_add(1);
        peer_connection& connection = peers.emplace(endpoint, make_connection(endpoint, now)).first->second;
        connection.last_call_at = last_call_at;
        resend_calls(endpoint, now);
        connection.last_used_at = last_used_at; // a resent request does not keep an idle connection open
    }

    bool has_calls()
    {
        const std::lock_guard lock(mutex);
        return !calls.empty();
    }

    void process_call_timers(time_point now)
    {
        std::vector<std::shared_ptr<pending_call>> expired;
        std::vector<std::shared_ptr<pending_call>> resends;
        std::vector<std::shared_ptr<pending_call>> ticks;
        {
            const std::lock_guard lock(mutex);
            for (auto entry = calls.begin(); entry != calls.end();) {
                const auto& call = entry->second;
                if (now >= call->deadline) {
                    expired.push_back(call);
                    entry = calls.erase(entry);
                    continue;
                }
                if (call->tick_interval != duration{} && now >= call->next_tick) {
                    call->next_tick = now + call->tick_interval;
                    ticks.push_back(call);
                }
                if (now >= call->resend_at && call->resend_at != time_point{}) {
                    resends.push_back(call);
                }
                ++entry;
            }
        }
        for (const auto& call : expired) {
            call->replies.try_send(boost::system::error_code{}, nullptr);
        }
        static const envelope_ptr tick = std::make_shared<envelope>();
        for (const auto& call : ticks) {
            call->replies.try_send(boost::system::error_code{}, tick);
        }
        for (const auto& call : resends) {
            call->resend_delay = std::min(call->resend_delay * 2, duration{max_resend_delay});
            call->resend_at = now + call->resend_delay;
            send_to(call->endpoint, call->bytes, now);
        }
    }

    void run()
    {
        time_point last_timer_check = runtime_clock::now();
        while (true) {
            std::vector<zmq::pollitem_t> items;
            std::vector<const std::string*> endpoints;
            items.push_back({nullptr, wake_fd, ZMQ_POLLIN, 0});
            if (router) {
                items.push_back({router->handle(), 0, ZMQ_POLLIN, 0});
            }
            const std::size_t first_peer = items.size();
            for (auto& [endpoint, peer] : peers) {
                items.push_back({peer.socket.handle(), 0, ZMQ_POLLIN, 0});
                endpoints.push_back(&endpoint);
            }
            zmq::poll(items,
                      std::chrono::milliseconds(to_ms(has_calls() ? poll_interval : idle_poll_interval)));
            const time_point now = runtime_clock::now();
            for (std::size_t i = first_peer; i < items.size(); ++i) {
                if ((items[i].revents & ZMQ_POLLIN) != 0) {
                    const std::string& endpoint = *endpoints[i - first_peer];
                    receive_replies(endpoint, peers.at(endpoint), now);
                }
            }
            receive_requests();
            execute_commands(now);
            if (now - last_timer_check >= poll_interval) {
                last_timer_check = now;
                process_call_timers(now);
                ping_peers(now);
            }
            const std::lock_guard lock(mutex);
            if (stopping && commands.empty()) {
                return;
            }
        }
    }

    /// Serves ZeroMQ's authentication protocol (ZAP): accepts only peers whose public key is listed.
    void run_authenticator()
    {
        zmq::socket_t socket(context, zmq::socket_type::rep);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::rcvtimeo, 100);
        socket.bind("inproc://zeromq.zap.01");
        authenticator_ready.store(true);
        while (!authenticator_stop.load()) {
            handle_authentication(socket);
        }
    }

    void handle_authentication(zmq::socket_t& socket) const
    {
        std::vector<std::string> frames;
        zmq::message_t frame;
        do {
            if (!socket.recv(frame)) {
                return;
            }
            frames.push_back(frame.to_string());
        } while (frame.more());
        constexpr std::size_t key_frame = 6;
        constexpr std::size_t request_frame = 1;
        bool allowed = false;
        if (frames.size() > key_frame) {
            std::array<char, 41> encoded_key{};
            zmq_z85_encode(encoded_key.data(),
                           reinterpret_cast<const std::uint8_t*>(frames[key_frame].data()),
                           frames[key_frame].size());
            for (const std::string& key : settings.allowed_keys) {
                allowed = allowed || equal_in_constant_time(key, encoded_key.data());
            }
        }
        const std::string request = frames.size() > request_frame ? frames[request_frame] : "";
        const std::vector<std::string> response{
            "1.0", request, allowed ? "200" : "400", allowed ? "OK" : "unknown key", "", ""};
        for (std::size_t i = 0; i < response.size(); ++i) {
            socket.send(zmq::buffer(response[i]),
                        i + 1 < response.size() ? zmq::send_flags::sndmore : zmq::send_flags::none);
        }
    }

    std::atomic<bool> authenticator_ready{false};
    std::atomic<bool> authenticator_stop{false};
    std::thread authenticator;
};

reply_stream::reply_stream(std::shared_ptr<pending_call> call, std::shared_ptr<link_core> core)
    : call_(std::move(call)), core_(std::move(core))
{
}

reply_stream::~reply_stream()
{
    core_->erase_call(call_->id);
}

asio::awaitable<envelope_ptr> reply_stream::next()
{
    co_return co_await call_->replies.async_receive(asio::use_awaitable);
}

link::link(asio::any_io_executor pool, const link_settings& settings, incarnation_id incarnation)
    : core_(std::make_shared<link_core>(std::move(pool), settings, incarnation))
{
    if (!settings.server_key.empty()) {
        core_->authenticator = std::thread([core = core_.get()] { core->run_authenticator(); });
        while (!core_->authenticator_ready.load()) {
            std::this_thread::yield();
        }
    }
    core_->thread = std::thread([core = core_.get()] { core->run(); });
}

link::~link()
{
    close();
}

void link::close()
{
    if (!core_->thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock(core_->mutex);
        core_->stopping = true;
    }
    core_->wake();
    core_->thread.join();
    core_->authenticator_stop.store(true);
    if (core_->authenticator.joinable()) {
        core_->authenticator.join();
    }
    core_->peers.clear();
    core_->router.reset();
}

void link::listen(const std::string& endpoint, receive_handler handler)
{
    core_->handler = std::move(handler);
    zmq::socket_t socket(core_->context, zmq::socket_type::router);
    socket.set(zmq::sockopt::linger, linger_ms);
    socket.set(zmq::sockopt::sndhwm, max_queued_messages);
    socket.set(zmq::sockopt::rcvhwm, max_queued_messages);
    if (!core_->settings.server_key.empty()) {
        socket.set(zmq::sockopt::curve_server, true);
        socket.set(zmq::sockopt::curve_publickey, core_->settings.public_key);
        socket.set(zmq::sockopt::curve_secretkey, core_->settings.secret_key);
    }
    try {
        socket.bind(endpoint);
    }
    catch (const zmq::error_t& fault) {
        throw link_error(endpoint + ": can't listen: " + fault.what());
    }
    {
        const std::lock_guard lock(core_->mutex);
        core_->new_router = std::move(socket);
    }
    core_->wake();
}

void link::send(const std::string& endpoint, envelope message)
{
    message.set_sender(core_->own_incarnation.value);
    link_command command;
    command.endpoint = endpoint;
    command.bytes = message.SerializeAsString();
    core_->enqueue(std::move(command));
}

std::unique_ptr<reply_stream> link::open_stream(const std::string& endpoint, envelope message,
                                                duration timeout, duration tick_interval, bool resends)
{
    auto call = std::make_shared<pending_call>(core_->pool);
    call->id = core_->next_call_id.fetch_add(1);
    call->endpoint = endpoint;
    call->deadline = runtime_clock::now() + timeout;
    call->resends = resends;
    call->tick_interval = tick_interval;
    call->next_tick = runtime_clock::now() + tick_interval;
    message.set_call(call->id);
    message.set_sender(core_->own_incarnation.value);
    call->bytes = message.SerializeAsString();
    {
        const std::lock_guard lock(core_->mutex);
        core_->calls.emplace(call->id, call);
    }
    link_command command;
    command.endpoint = endpoint;
    command.call = call;
    core_->enqueue(std::move(command));
    return std::make_unique<reply_stream>(std::move(call), core_);
}

asio::awaitable<envelope_ptr> link::call(std::string endpoint, envelope message, duration timeout)
{
    const std::unique_ptr<reply_stream> stream = open_stream(endpoint, std::move(message), timeout);
    envelope_ptr first_reply = co_await stream->next();
    if (!first_reply) {
        throw link_error(endpoint + " gave no answer in time");
    }
    co_return first_reply;
}

void link::reply(const reply_target& target, envelope message)
{
    message.set_call(target.call);
    message.set_sender(core_->own_incarnation.value);
    link_command command;
    command.identity = target.identity;
    command.bytes = message.SerializeAsString();
    core_->enqueue(std::move(command));
}

incarnation_id link::own_incarnation() const
{
    return core_->own_incarnation;
}

bool link::active_within(const std::string& endpoint, duration span) const
{
    const std::lock_guard lock(core_->mutex);
    const auto found = core_->activities.find(endpoint);
    return found == core_->activities.end() ||
           runtime_clock::now() - found->second.received_at <= span + found->second.margin;
}

std::uint64_t link::undecodable_count() const
{
    return core_->undecodable_count.load();
}

std::uint64_t link::reconnect_count() const
{
    return core_->reconnect_count.load();
}

} // namespace guavawick::wire
