package dev.jackdawdale.outgoing

import io.netty.util.NetUtil
import java.net.InetAddress
import java.net.InetSocketAddress

private const val MAX_PORT = 65_535

/**
 * The socket address of an IP address and port, or null if either is invalid. Host names are not
 * resolved, because that would block the calling thread.
 */
internal fun socketAddress(address: String, port: Int): InetSocketAddress? {
    val bytes = NetUtil.createByteArrayFromIpAddressString(address) ?: return null
    if (port !in 1..MAX_PORT) return null
    return InetSocketAddress(InetAddress.getByAddress(bytes), port)
}

/** The socket address of an `ip:port` string, or null if it is invalid. */
internal fun socketAddress(address: String): InetSocketAddress? {
    val port = address.substringAfterLast(':').toIntOrNull() ?: return null
    return socketAddress(address.substringBeforeLast(':', ""), port)
}
