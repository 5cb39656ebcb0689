/** Errors about the records of jobs. Each names its job and, where there is one, the key. */

/** An error about one job. */
export abstract class JobError extends Error {
  constructor(
    readonly job: string,
    message: string,
  ) {
    super(message);
  }
}

/** The record at this key is missing or cannot be read. */
export class UnreadableRecordError extends JobError {
  constructor(
    job: string,
    readonly key: string,
  ) {
    super(job, `${key} is missing or unreadable`);
  }
}

/** A run record has a version that only another leader could have written. */
export class UnexpectedVersionError extends JobError {
  constructor(
    job: string,
    readonly key: string,
  ) {
    super(job, `unexpected version of ${key}`);
  }
}

/** A job that another depends on is not in the store. */
export class MissingDependencyError extends JobError {
  constructor(
    job: string,
    readonly dependency: string,
  ) {
    super(job, `${dependency}, a dependency of ${job}, is missing`);
  }
}

/** The job changed while it was read, or lacks chunks of its dependencies. */
export class ChangedJobError extends JobError {
  constructor(job: string) {
    super(job, `${job} has just changed or lacks dependencies`);
  }
}

/** The store reported a conflict on chunks and named none of them. */
export class UnnamedConflictError extends JobError {
  constructor(job: string) {
    super(job, `conflict on the dependencies of ${job} names no chunk`);
  }
}

/** Broken invariant: a job whose state is in use is cached or checked. */
export class UncachedJobError extends JobError {
  constructor(job: string) {
    super(job, `${job} is not cached`);
  }
}

/** Broken invariant: a stored indexed record has a section, and every task lies in one. */
export class UnknownSectionError extends JobError {
  constructor(
    job: string,
    readonly index: number,
  ) {
    super(job, `${job} has no section ${index}`);
  }
}
