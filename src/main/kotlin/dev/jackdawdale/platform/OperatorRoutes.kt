package dev.jackdawdale.platform

import dev.jackdawdale.control.Pass
import dev.jackdawdale.entry.Access
import dev.jackdawdale.entry.HttpCall
import dev.jackdawdale.entry.HttpResult
import dev.jackdawdale.entry.JSON_TYPE
import dev.jackdawdale.entry.Route
import dev.jackdawdale.host.ControlRole
import dev.jackdawdale.model.HostId
import dev.jackdawdale.push.StagedControl
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Below one second, after which callers without an answer try another host. */
private const val ANSWER_TIMEOUT_MS = 900L

/**
 * Translates the HTTP calls of operators and workers. A host that does not lead redirects to the
 * leader.
 *
 * @param port the operators' port, the same on all hosts
 * @param hasCustomers see [PlatformSettings.hasCustomers]
 */
internal class OperatorRoutes(
    private val control: ControlRole,
    private val port: Int,
    private val rejected: RejectedBodies,
    private val hasCustomers: Boolean
) {
    val routes = listOf(
        Route("PUT", "/config", Access.ANYONE, ::putConfiguration),
        Route("GET", "/config", Access.ANYONE, ::getConfiguration),
        Route("PUT", "/instances/{id}", Access.ANYONE, ::workerReport),
        Route("DELETE", "/instances/{id}", Access.ANYONE, ::workerLeave)
    )

    private suspend fun putConfiguration(call: HttpCall): HttpResult {
        val configuration = try {
            decodeConfiguration(call.body, hasCustomers)
        } catch (e: MalformedBody) {
            rejected.record(BodyKind.CONFIGURATION, "configuration", e.problem)
            return text(BAD_REQUEST, e.problem)
        }
        return atLeader("/config") { staged, pass, reply ->
            staged.configure(pass, configuration) { reply(ok()) }
        }
    }

    private suspend fun getConfiguration(call: HttpCall): HttpResult =
        atLeader(call.rawPath) { _, pass, reply ->
            pass.whenDurable {
                val document = control.committed.staged.configuration?.document
                reply(
                    document?.let { HttpResult(OK, JSON_TYPE, it.encodeToByteArray()) }
                        ?: text(UNAVAILABLE, "no configuration yet")
                )
            }
        }

    private suspend fun workerReport(call: HttpCall): HttpResult {
        val workerId = call.path.getValue("id")
        val registration = try {
            decodeWorkerRegistration(workerId, call.body)
        } catch (e: MalformedBody) {
            rejected.record(BodyKind.REGISTRATION, workerId, e.problem)
            return text(BAD_REQUEST, e.problem)
        }
        return atLeader(call.rawPath) { staged, pass, reply ->
            staged.workerRegistered(pass, registration) { reply(ok()) }
        }
    }

    private suspend fun workerLeave(call: HttpCall): HttpResult =
        atLeader(call.rawPath) { staged, pass, reply ->
            staged.workerLeaves(pass, call.path.getValue("id")) { reply(ok()) }
        }

    private suspend fun atLeader(
        path: String,
        action: (StagedControl, Pass, (HttpResult) -> Unit) -> Unit
    ): HttpResult {
        val answer = CompletableDeferred<HttpResult>()
        control.submitStaged(
            { staged, pass -> action(staged, pass, answer::complete) },
            { leader -> answer.complete(redirect(leader, path)) }
        )
        return withTimeoutOrNull(ANSWER_TIMEOUT_MS) { answer.await() }
            ?: text(UNAVAILABLE, "the outcome is not known yet; ask again")
    }

    private fun redirect(leader: HostId?, path: String): HttpResult {
        if (leader == null) return text(UNAVAILABLE, "no leader is known")
        val location = mapOf("Location" to "http://${leader.value}:$port$path")
        return HttpResult(REDIRECT, JSON_TYPE, json(REDIRECT).body, location)
    }

    private fun ok() = json(OK)
}
