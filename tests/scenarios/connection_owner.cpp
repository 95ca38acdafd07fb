// Which process owns a TCP connection.
#include "connection_owner.hpp"

#include <cstring>
#include <filesystem>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace guavawick::scenarios {

namespace fs = std::filesystem;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::uint32_t all_states = ~0U;

struct diagnosis_request {
    nlmsghdr header{};
    inet_diag_req_v2 body{};
};

void set_address(std::uint16_t& port, std::uint32_t& address, const tcp::endpoint& endpoint)
{
    port = htons(endpoint.port());
    address = htonl(endpoint.address().to_v4().to_uint());
}

/// @return the inode of the socket at the local end; nothing if the kernel knows none.
std::optional<std::uint32_t> query_inode(const connection_ends& ends)
{
    const int diagnosis = ::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (diagnosis < 0) {
        return std::nullopt;
    }
    diagnosis_request request;
    request.header.nlmsg_len = sizeof request;
    request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.header.nlmsg_flags = NLM_F_REQUEST;
    request.body.sdiag_family = AF_INET;
    request.body.sdiag_protocol = IPPROTO_TCP;
    request.body.idiag_states = all_states;
    request.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    request.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    set_address(request.body.id.idiag_sport, request.body.id.idiag_src[0], ends.local);
    set_address(request.body.id.idiag_dport, request.body.id.idiag_dst[0], ends.remote);
    alignas(nlmsghdr) char reply[1024];
    ssize_t size = -1;
    if (::send(diagnosis, &request, sizeof request, 0) == static_cast<ssize_t>(sizeof request)) {
        size = ::recv(diagnosis, reply, sizeof reply, 0);
    }
    ::close(diagnosis);
    nlmsghdr header{};
    inet_diag_msg body{};
    if (size < static_cast<ssize_t>(NLMSG_LENGTH(sizeof body))) {
        return std::nullopt; // an error, which is shorter
    }
    std::memcpy(&header, reply, sizeof header);
    std::memcpy(&body, reply + NLMSG_HDRLEN, sizeof body);
    return header.nlmsg_type == SOCK_DIAG_BY_FAMILY && body.idiag_inode != 0
               ? std::optional<std::uint32_t>(body.idiag_inode)
               : std::nullopt;
}

} // namespace

std::string find_connection_owner(const std::map<std::string, pid_t>& processes, const connection_ends& ends)
{
    const std::optional<std::uint32_t> inode = query_inode(ends);
    if (!inode) {
        return "?";
    }
    const std::string link = "socket:[" + std::to_string(*inode) + "]";
    for (const auto& [name, pid] : processes) {
        std::error_code ignored;
        for (const auto& fd : fs::directory_iterator("/proc/" + std::to_string(pid) + "/fd", ignored)) {
            if (fs::read_symlink(fd.path(), ignored).string() == link) {
                return name;
            }
        }
    }
    return "?";
}

} // namespace guavawick::scenarios
