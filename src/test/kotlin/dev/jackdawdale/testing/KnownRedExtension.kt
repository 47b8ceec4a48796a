package dev.jackdawdale.testing

import io.kotest.core.descriptors.Descriptor
import io.kotest.core.extensions.EnabledExtension
import io.kotest.core.test.Enabled
import java.io.File

/**
 * Skips exactly the tests that KNOWN-RED.txt lists with a line `test: <spec class>/<test name>` and
 * prints each of them.
 */
class KnownRedExtension(private val knownRed: Set<String> = readKnownRed()) : EnabledExtension {
    override suspend fun isEnabled(descriptor: Descriptor): Enabled {
        if (descriptor !is Descriptor.TestDescriptor) return Enabled.enabled
        val spec = descriptor.spec().id.value.substringAfterLast('.')
        val name = "$spec/${descriptor.testParts().joinToString("/")}"
        if (name !in knownRed) return Enabled.enabled
        println("skipped, listed in KNOWN-RED.txt: $name")
        return Enabled.disabled("listed in KNOWN-RED.txt")
    }
}

private const val TEST_PREFIX = "test: "

internal fun readKnownRed(file: File = File("KNOWN-RED.txt")): Set<String> {
    if (!file.exists()) return emptySet()
    return file.readLines()
        .filter { it.startsWith(TEST_PREFIX) }
        .map { it.removePrefix(TEST_PREFIX).trim() }
        .toSet()
}
