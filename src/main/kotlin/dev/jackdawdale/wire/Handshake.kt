package dev.jackdawdale.wire

import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.CorruptPayload
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.cellCbor
import dev.jackdawdale.model.wrapDecodeErrors
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Version of the messages between the system's own processes. */
internal const val PROTOCOL_VERSION = 1

/** Limits the memory that a peer can make this process hold before it is authenticated. */
internal const val MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024

private const val NONCE_BYTES = 32
private const val MAC_ALGORITHM = "HmacSHA256"

/** The purpose of a connection, named by the connecting side. */
@Serializable
internal enum class Role { CONTROL, ENTRY }

/** The identity that one side of a connection claims. */
@Serializable
internal data class Hello(
    val protocolVersion: Int,
    val clusterId: String,
    val hostId: HostId,
    val incarnation: Long,
    val role: Role,
    val nonce: Blob
)

/** Why a handshake failed. */
@Serializable
internal enum class HandshakeRefusal {
    WRONG_VERSION,
    WRONG_CLUSTER,
    WRONG_KEY,
    WRONG_HOST,
    MALFORMED,
    TOO_MANY_CONNECTIONS
}

/** The messages of the handshake, which precede all others on a connection. */
@Serializable
internal sealed interface HandshakeMessage {
    @Serializable
    @SerialName("greeting")
    data class Greeting(val hello: Hello) : HandshakeMessage

    /** HMAC-SHA256 of both greetings under the cluster key. */
    @Serializable
    @SerialName("proof")
    data class Proof(val mac: Blob) : HandshakeMessage

    @Serializable
    @SerialName("refused")
    data class Refused(val reason: HandshakeRefusal) : HandshakeMessage
}

/**
 * The handshake failed.
 *
 * @property byPeer true if the peer refused, false if this host did
 */
internal class HandshakeFailed(val reason: HandshakeRefusal, val byPeer: Boolean) :
    Exception("handshake refused by ${if (byPeer) "the peer" else "this host"}: $reason")

private val random = SecureRandom()

/** This process's [Hello] with a fresh nonce. */
internal fun hello(settings: PeerSettings, role: Role): Hello {
    val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
    return Hello(
        protocolVersion = PROTOCOL_VERSION,
        clusterId = settings.clusterId,
        hostId = settings.hostId,
        incarnation = settings.incarnation,
        role = role,
        nonce = Blob(nonce)
    )
}

/**
 * Proves the cluster key to the accepting side, then verifies the proof of that side.
 *
 * @throws HandshakeFailed when either side refuses
 */
internal suspend fun RawLink.handshakeAsClient(
    settings: PeerSettings,
    role: Role,
    expected: HostId
): Hello {
    val own = hello(settings, role)
    sendHandshake(HandshakeMessage.Greeting(own))
    val peer = receiveGreeting()
    checkGreeting(settings, peer)
    if (peer.hostId != expected) refuse(HandshakeRefusal.WRONG_HOST)
    sendHandshake(HandshakeMessage.Proof(proof(settings, CLIENT_LABEL, own, peer)))
    checkProof(proof(settings, SERVER_LABEL, own, peer))
    return peer
}

/**
 * Verifies the connecting side's proof before sending its own.
 *
 * @throws HandshakeFailed when either side refuses
 */
internal suspend fun RawLink.handshakeAsServer(settings: PeerSettings): Hello {
    val peer = receiveGreeting()
    checkGreeting(settings, peer)
    val own = hello(settings, Role.CONTROL)
    sendHandshake(HandshakeMessage.Greeting(own))
    checkProof(proof(settings, CLIENT_LABEL, peer, own))
    sendHandshake(HandshakeMessage.Proof(proof(settings, SERVER_LABEL, peer, own)))
    return peer
}

// Different labels for the two sides prevent reflection of a proof to its sender.
private const val CLIENT_LABEL = "jackdawdale client"
private const val SERVER_LABEL = "jackdawdale server"

private fun proof(settings: PeerSettings, label: String, client: Hello, server: Hello): Blob {
    val mac = Mac.getInstance(MAC_ALGORITHM)
    // HMAC pads short keys with zeros; hashing first separates keys that differ in trailing zeros.
    val key = MessageDigest.getInstance("SHA-256").digest(settings.clusterKey)
    mac.init(SecretKeySpec(key, MAC_ALGORITHM))
    mac.update(label.encodeToByteArray())
    mac.update(cellCbor.encodeToByteArray(client))
    mac.update(cellCbor.encodeToByteArray(server))
    return Blob(mac.doFinal())
}

private suspend fun RawLink.checkGreeting(settings: PeerSettings, peer: Hello) {
    if (peer.protocolVersion != PROTOCOL_VERSION) refuse(HandshakeRefusal.WRONG_VERSION)
    if (peer.clusterId != settings.clusterId) refuse(HandshakeRefusal.WRONG_CLUSTER)
    if (peer.nonce.sizeBytes != NONCE_BYTES) refuse(HandshakeRefusal.MALFORMED)
}

private suspend fun RawLink.checkProof(wanted: Blob) {
    val message = receiveHandshake() as? HandshakeMessage.Proof
        ?: refuse(HandshakeRefusal.MALFORMED)
    val equal = MessageDigest.isEqual(message.mac.bytes, wanted.bytes)
    if (!equal) refuse(HandshakeRefusal.WRONG_KEY)
}

private suspend fun RawLink.receiveGreeting(): Hello =
    (receiveHandshake() as? HandshakeMessage.Greeting)?.hello
        ?: refuse(HandshakeRefusal.MALFORMED)

private suspend fun RawLink.receiveHandshake(): HandshakeMessage {
    val message = try {
        val frame = input.readFrame(MAX_HANDSHAKE_FRAME_BYTES)
        wrapDecodeErrors("handshake") { cellCbor.decodeFromByteArray<HandshakeMessage>(frame) }
    } catch (_: BadFrame) {
        refuse(HandshakeRefusal.MALFORMED)
    } catch (_: CorruptPayload) {
        refuse(HandshakeRefusal.MALFORMED)
    }
    if (message is HandshakeMessage.Refused) throw HandshakeFailed(message.reason, byPeer = true)
    return message
}

internal suspend fun RawLink.refuse(reason: HandshakeRefusal): Nothing {
    sendHandshake(HandshakeMessage.Refused(reason))
    throw HandshakeFailed(reason, byPeer = false)
}

private suspend fun RawLink.sendHandshake(message: HandshakeMessage) {
    output.writeFrame(cellCbor.encodeToByteArray(message))
    output.flush()
}
