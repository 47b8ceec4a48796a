package dev.jackdawdale.entry

import io.netty.handler.codec.http.QueryStringDecoder

/** The matched route of a call, and its path parameters. */
internal class RouteMatch(val route: Route, val path: Map<String, String>)

private class PathPattern(val route: Route) {
    private val segments = route.pattern.split('/')

    fun match(path: List<String>): Map<String, String>? {
        if (path.size != segments.size) return null
        val parameters = HashMap<String, String>()
        for ((wanted, actual) in segments.zip(path)) {
            when {
                wanted.startsWith("{") -> parameters[wanted.removeSurrounding("{", "}")] = actual
                wanted != actual -> return null
            }
        }
        return parameters
    }
}

/**
 * Finds the route of a path and method.
 *
 * @param fallback handles calls that match no route
 */
internal class Router(routes: List<Route>, private val fallback: Route? = null) {
    private val patterns = routes.map(::PathPattern)

    /** Throws [HttpError] 404 for an unknown path and 405 for a wrong method. */
    fun find(method: String, rawPath: String): RouteMatch {
        val segments = rawPath.split('/').map(::decodeSegment)
        val allowed = sortedSetOf<String>()
        for (pattern in patterns) {
            val parameters = pattern.match(segments) ?: continue
            if (pattern.route.method == method) return RouteMatch(pattern.route, parameters)
            allowed += pattern.route.method
        }
        if (fallback != null) return RouteMatch(fallback, emptyMap())
        if (allowed.isEmpty()) throw HttpError(404, "unknown_path", "no call has this path")
        val names = allowed.joinToString(", ")
        throw HttpError(
            405,
            "wrong_method",
            "this path allows $names",
            headers = mapOf("Allow" to names)
        )
    }

    private fun decodeSegment(segment: String): String = try {
        QueryStringDecoder.decodeComponent(segment.replace("+", "%2B"))
    } catch (_: IllegalArgumentException) {
        throw badRequest("malformed_path", "the path has a broken percent escape")
    }
}
