package dev.jackdawdale.entry

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

private const val BOUND_BYTES = 1_024
private const val PIECES = 20
private const val PIECE_BYTES = 16 * 1024
private const val BODY_BYTES = 4 * 1024 * 1024

/** Each test is named after the failure that it guards against. */
class LingeringCloseTest :
    FunSpec({
        test("a client that is still sending its body loses the error response") {
            val settings = HttpSettings(
                maxBodyBytes = BOUND_BYTES,
                authMode = AuthMode.PRIVATE_NETWORK
            )
            val route = Route("POST", "/", Access.ANYONE) { error("must not be called") }
            httpServer(settings, listOf(route)).use { server ->
                server.start()
                Socket("127.0.0.1", server.port).use { client ->
                    val head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: $BODY_BYTES\r\n\r\n"
                    client.getOutputStream().write(head.encodeToByteArray())
                    client.getOutputStream().write(ByteArray(BOUND_BYTES + 1))
                    eventually(10.seconds) {
                        client.getInputStream().available() shouldBeGreaterThan 0
                    }
                    // These writes fail if the connection was reset.
                    repeat(PIECES) { client.getOutputStream().write(ByteArray(PIECE_BYTES)) }
                    client.getInputStream().bufferedReader().readLine() shouldStartWith
                        "HTTP/1.1 413"
                }
            }
        }
    })
