package dev.jackdawdale.platform

import dev.jackdawdale.entry.Access
import dev.jackdawdale.entry.AuthMode
import dev.jackdawdale.entry.HttpCall
import dev.jackdawdale.entry.HttpResult
import dev.jackdawdale.entry.HttpServer
import dev.jackdawdale.entry.HttpSettings
import dev.jackdawdale.entry.Route
import dev.jackdawdale.entry.httpServer
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonArray
import kotlinx.serialization.json.putJsonArray

/** A simulated adviser for tests and demonstrations; [allows] is its policy. */
internal class StandInAdviser(
    private val allows: (step: String, workerId: String) -> Boolean = { _, _ -> true }
) : AutoCloseable {
    private val server: HttpServer = httpServer(
        HttpSettings(threads = 1, authMode = AuthMode.PRIVATE_NETWORK),
        listOf(Route("POST", "/advise", Access.ANYONE, ::advise))
    )

    val address: String get() = "127.0.0.1:${server.port}"

    fun open() = server.start()

    override fun close() = server.close()

    private suspend fun advise(call: HttpCall): HttpResult {
        val request = wireObject(call.body)
        val step = request.text("step")
        val workers = request.array("workers").map { it.asText("workers") }
        return json(OK) {
            putJsonArray("good") {
                workers.filter { allows(step, it) }.forEach {
                    addJsonArray {
                        add(it)
                        add("$step-$it")
                    }
                }
            }
        }
    }
}
