package org.dahliapass.decisions.configuration;

import java.util.List;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/** What a follower asks of the member list; all answers leave out the VM itself. */
public interface FollowerPeers {

    /** Returns whether this VM is in the service's cell. */
    boolean serves(ServiceId service);

    /** Returns all live members, in no order. */
    List<VmIdentity> members();

    /** Returns who may know a group whole: for a service its cell, else any few members. */
    List<VmIdentity> groupSources(CustomerGroup group);

    /** Returns who may have a change's text: watchers of this VM's zone, then cell peers. */
    List<VmIdentity> textSources(ChangeRecord record);

    /** Returns this VM's place, from 0, among those that may read a group from the store. */
    int storeRank(CustomerGroup group);
}
