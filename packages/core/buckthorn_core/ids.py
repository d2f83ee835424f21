"""Types of identifiers that are shared by the packages."""

from typing import NewType

DaemonId = NewType("DaemonId", str)
ServiceName = NewType("ServiceName", str)
WorkspaceName = NewType("WorkspaceName", str)
ResourceName = NewType("ResourceName", str)
RouteName = NewType("RouteName", str)
SiteName = NewType("SiteName", str)
RegionName = NewType("RegionName", str)
VersionNumber = NewType("VersionNumber", int)
Offset = NewType("Offset", int)
LogEpoch = NewType("LogEpoch", int)
PublicationId = NewType("PublicationId", str)
OperationKey = NewType("OperationKey", str)
Fingerprint = NewType("Fingerprint", str)
Address = NewType("Address", str)
InstanceId = NewType("InstanceId", str)
RequestId = NewType("RequestId", str)

FIRST_EPOCH = LogEpoch(0)
