"""Messages to the owners of partitions of operation keys."""

from buckthorn_core import claims
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import messages
from buckthorn_core import traffic
from buckthorn_daemon import owning
from buckthorn_daemon import state

REQUEST_TIMEOUT_S = 0.5
MAX_REDIRECTS = 4


class OwnerClient:
    """Finds the owner of a partition and sends it messages."""

    def __init__(self, shared: state.State, owners: owning.Owners):
        self._shared = shared
        self._owners = owners
        self._address_by_partition: dict[int, ids.Address] = {}

    def claim(
        self, claim: claims.Claim, address: ids.Address | None, timeout_s: float
    ) -> claims.Answer:
        """Sends a claim to the owner of its key once.

        Args:
            claim: The claim.
            address: Address of the owner from another daemon's redirect; None
                if there was none.
            timeout_s: Maximum wait for the answer, in seconds.

        Raises:
            errors.PeerError: There was no valid answer; the claim may have
                arrived.
        """
        shared = self._shared
        partition = claims.partition_of(claim.key)
        if address is None:
            address = self._owner_address(partition)
        elif shared.cfg.region != shared.cfg.log_region:
            self._address_by_partition[partition] = address
        if address is None:
            return self._owners.claim(claim, shared.cfg.region)
        reply = self._request(
            partition, address, messages.Claim(claim), max(0.01, timeout_s)
        )
        if not isinstance(reply, messages.ClaimReply):
            raise errors.PeerError(
                errors.Code.BAD_MESSAGE, "the answer is not one to a claim"
            )
        return reply.answer

    def record_finals(
        self, partition: int, finals: list[claims.Final]
    ) -> list[bytes]:
        """Sends final outcomes to their owner.

        Args:
            partition: Partition of all outcomes.
            finals: The outcomes.

        Returns:
            Tokens of the outcomes that the owner has recorded.

        Raises:
            errors.PeerError: The owner is not known or did not answer.
        """
        address = self._owner_address(partition)
        shared = self._shared
        for _ in range(MAX_REDIRECTS):
            if address is None:
                reply = self._owners.record_finals(finals, shared.cfg.region)
            else:
                answer = self._request(
                    partition, address, messages.Complete(finals)
                )
                if not isinstance(answer, messages.CompleteReply):
                    return []
                reply = answer
            if not reply.address:
                return reply.tokens
            address = reply.address
        return []

    def _request(
        self,
        partition: int,
        address: ids.Address,
        message: messages.Claim | messages.Complete,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> messages.Payload:
        try:
            return self._shared.client.request(
                address,
                message,
                self._scope(),
                min(REQUEST_TIMEOUT_S, timeout_s),
            ).payload
        except errors.PeerError:
            self._address_by_partition.pop(partition, None)
            raise

    def _owner_address(self, partition: int) -> ids.Address | None:
        """Returns the address for messages; None means this daemon.

        Outside the log's region, without a cached address, it is a random
        contact of the log's region, which redirects to the owner.

        Raises:
            errors.PeerError: No contact of the log's region is known.
        """
        shared = self._shared
        cfg = shared.cfg
        if cfg.region == cfg.log_region:
            member = self._owners.locate(partition)
            if member is None or member.id == cfg.daemon_id:
                return None
            return member.peer_address
        cached = self._address_by_partition.get(partition)
        if cached is not None:
            return cached
        with shared.lock:
            entry = shared.table.entries.get(f"r/{cfg.log_region}")
        if not isinstance(entry, entries.RegionContacts) or not entry.addresses:
            raise errors.PeerError(
                errors.Code.PEER_UNAVAILABLE, "the log's region is not known"
            )
        return shared.rng.choice(entry.addresses)

    def _scope(self) -> traffic.Scope:
        cfg = self._shared.cfg
        if cfg.region == cfg.log_region:
            return traffic.Scope.LOCAL
        return traffic.Scope.REGION
