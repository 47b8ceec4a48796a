package dev.jackdawdale.outgoing

import io.netty.util.NetUtil
import java.net.InetAddress
import java.net.InetSocketAddress

private const val MAX_PORT = 65_535

/**
 * The socket address of an IP address and port, or null when it is none. There is no name look-up,
 * which would block the calling thread.
 */
internal fun socketAddress(address: String, port: Int): InetSocketAddress? {
    val bytes = NetUtil.createByteArrayFromIpAddressString(address) ?: return null
    if (port !in 1..MAX_PORT) return null
    return InetSocketAddress(InetAddress.getByAddress(bytes), port)
}

/** The same for the form `ip:port`. */
internal fun socketAddress(address: String): InetSocketAddress? {
    val port = address.substringAfterLast(':').toIntOrNull() ?: return null
    return socketAddress(address.substringBeforeLast(':', ""), port)
}
